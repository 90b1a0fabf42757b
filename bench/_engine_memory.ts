/** Daemons that bound what engines hold, connected by simulated links to the one that grants memory. */
import type { DaemonId } from '../core/ids/index.ts'
import { LoadAggregator, reportIntervalMs, type Random } from '../core/routing/index.ts'
import { steadyNow } from '../core/time/index.ts'
import type { EndpointTable } from '../daemon/endpoints/endpoint_table.ts'
import { EngineMemory } from '../daemon/limits/engine_memory.ts'
import { EngineMemoryTask } from '../daemon/limits/engine_memory_task.ts'
import { createMetrics } from '../daemon/metrics.ts'

/** How engines' memory is bounded: as in the product, or by a fixed share of it for each daemon. */
export interface MemoryBound {
  kind: 'grants' | 'fixed-share'
  /** Memory of an engine. */
  tokens: number
  /** Additional delay of all messages to the keeper, in milliseconds. Default: 0. */
  lateMs?: number
  /** Time at which the keeper dies and another daemon takes over, in milliseconds. Default: never. */
  keeperDiesAtMs?: number
  /** Called at the end with the numbers of messages about memory. Default: does nothing. */
  onEnd? (messages: number): void
}

interface SimulatedMemoryOptions extends MemoryBound { daemons: number, oneWayDelayMs: number, random: Random }
interface Node { memory: EngineMemory, task: EngineMemoryTask, handlers: Map<string, (value: never, from: DaemonId) => void>, keeper: DaemonId | undefined }

/** Time from the death of the keeper until the daemons choose another one, in milliseconds. */
const KEEPER_CHANGE_MS = 1500

/** The memory components of all daemons. */
export class SimulatedMemory {
  readonly #options: SimulatedMemoryOptions
  readonly #nodes = new Map<DaemonId, Node>()
  readonly #metrics = createMetrics()
  readonly #boards = new Map<DaemonId, LoadAggregator>()
  #ids: DaemonId[] = []
  #messages = 0
  #dead: DaemonId | undefined

  constructor (options: SimulatedMemoryOptions) {
    this.#options = options
    if (options.keeperDiesAtMs === undefined) return
    setTimeout(() => { this.#dead = this.#ids[0] }, options.keeperDiesAtMs)
    setTimeout(() => { for (const [id, node] of this.#nodes) node.keeper = id === this.#ids[1] ? undefined : this.#ids[1] }, options.keeperDiesAtMs + KEEPER_CHANGE_MS)
  }

  /** Creates the components of a daemon. */
  daemon (id: DaemonId, table: EndpointTable): EngineMemory {
    const { tokens, daemons, random, kind } = this.#options
    const memory = new EngineMemory({ table, metrics: this.#metrics, random, memoryOf: () => tokens, sharers: () => daemons })
    if (kind === 'fixed-share') memory.hasRoom = (view, wanted) => (view.own.heldTokens ?? 0) + wanted <= tokens / daemons
    const handlers: Node['handlers'] = new Map()
    const links = { onPost: (topic: string, handler: (value: never, from: DaemonId) => void) => { handlers.set(topic, handler) }, post: (to: DaemonId, topic: string, value: unknown) => this.#post(id, { to, topic, value }) }
    const nodes = this.#nodes
    const accounts = { get keeper () { return nodes.get(id)!.keeper }, get keeperShare () { return nodes.get(id)!.keeper === undefined ? 1 : 0 } }
    const task = new EngineMemoryTask({ self: id, links, memory, poolOf: (endpoint) => table.get(endpoint)?.pool, accounts, metrics: this.#metrics })
    this.#ids.push(id)
    nodes.set(id, { memory, task, handlers, keeper: this.#ids[0] === id ? undefined : this.#ids[0] })
    return memory
  }

  /** Reports a daemon's load to the keeper, which answers with that of the others. */
  report (id: DaemonId, table: EndpointTable): void {
    const { task, memory, keeper = id } = this.#nodes.get(id)!
    if (keeper === this.#dead) return
    const sentAtMs = steadyNow()
    const work = structuredClone(memory.withGrants(table.ownWork))
    task.beforeReport()
    this.#later(id === keeper ? 0 : this.#delayTo(keeper), () => {
      if (keeper === this.#dead) return
      const board = this.#boards.get(keeper) ?? new LoadAggregator()
      this.#boards.set(keeper, board)
      board.report(id, work, steadyNow())
      const others = board.loadsOfOthers(id, steadyNow())
      this.#nodes.get(keeper)!.task.reported(id, work)
      this.#later(id === keeper ? 0 : this.#delayTo(id), () => {
        table.applyOthersWork(others)
        memory.applyOthers(others, { from: keeper, visibleAfterMs: 2 * (reportIntervalMs(this.#options.daemons) + steadyNow() - sentAtMs) })
      })
    })
  }

  /** Tells the number of messages. */
  finish (): void { this.#options.onEnd?.(this.#messages) }

  #post (from: DaemonId, { to, topic, value }: { to: DaemonId, topic: string, value: unknown }): boolean {
    this.#messages++
    const copy = structuredClone(value)
    this.#later(this.#delayTo(to), () => { if (to !== this.#dead && from !== this.#dead) this.#nodes.get(to)!.handlers.get(topic)!(copy as never, from) })
    return true
  }

  #delayTo (to: DaemonId): number {
    const { oneWayDelayMs, lateMs = 0 } = this.#options
    return this.#nodes.get(to)!.keeper === undefined ? oneWayDelayMs + lateMs : oneWayDelayMs
  }

  #later (ms: number, act: () => void): void {
    if (ms === 0) act()
    else setTimeout(act, ms)
  }
}
