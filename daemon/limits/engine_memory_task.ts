/** Asks the keeper for memory of endpoints that are nearly full, and grants it to other daemons while this one is the keeper. */
import { MemoryLedger, type EndpointTokens, type MemoryGrant, type MemoryWant } from '../../core/engine_memory/index.ts'
import type { DaemonId, EndpointId, PoolName } from '../../core/ids/index.ts'
import type { EndpointWork } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { Links } from '../peers/links.ts'
import type { LoadMemory } from '../peers/load_task.ts'
import type { AccountLimits } from './account_limits.ts'
import type { EngineMemory } from './engine_memory.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode EngineMemoryTask}. */
export interface EngineMemoryTaskOptions {
  self: DaemonId
  links: Pick<Links, 'post' | 'onPost'>
  memory: EngineMemory
  /** Returns the pool of an endpoint; undefined if it is not listed. */
  poolOf (endpoint: EndpointId): PoolName | undefined
  /** The keeper of the load reports, which also grants memory. */
  accounts: Pick<AccountLimits, 'keeper' | 'keeperShare'>
  metrics: { engineMemoryMessages: { inc (labels: { kind: string }): void } }
}

/**
 * What a daemon tells the keeper. `received` is the number of its last grant; `held` is what it holds at the endpoints where that has changed, or undefined if a load report follows.
 * `atMs` is on the daemon's clock and comes back with grants.
 */
interface MemoryMessage { received: number, atMs: number, held?: readonly EndpointTokens[] | undefined, wants: readonly MemoryWant[] }
interface GrantMessage { number: number, askedAtMs: number, grants: readonly EndpointTokens[] }

const MEMORY_TOPIC = 'engine-memory'
const GRANTS_TOPIC = 'engine-memory-granted'
/** Delay before a message, in milliseconds: requests that end at about the same time are reported together. */
const BATCH_MS = 3
/** Delay between a change at the keeper and the next grants, in milliseconds. */
const ALLOCATE_MS = 2
/** Grants that arrive later than this after they were asked for are not used, in milliseconds: the keeper may have given them to another daemon. */
const MAX_GRANT_AGE_MS = 2000
/** Interval at which unused grants are looked for while there are any, in milliseconds. */
const GIVE_UP_INTERVAL_MS = 50

/** Exchanges messages about the memory of endpoints. Sends none while requests find room without grants. */
export class EngineMemoryTask implements LoadMemory {
  readonly #options: EngineMemoryTaskOptions
  readonly #ledger: MemoryLedger
  /** When the daemons that wait asked last, on their own clocks. */
  readonly #askedAtMs = new Map<DaemonId, number>()
  #received = { from: undefined as DaemonId | undefined, number: 0 }
  #sendTimer: NodeJS.Timeout | undefined
  #allocateTimer: NodeJS.Timeout | undefined
  #giveUpTimer: NodeJS.Timeout | undefined

  constructor (options: EngineMemoryTaskOptions) {
    this.#options = options
    const { links, memory, poolOf } = options
    this.#ledger = new MemoryLedger({
      capacityOf (endpoint) {
        const pool = poolOf(endpoint)
        return pool === undefined ? undefined : memory.capacityOf({ pool })
      },
      isOpen: (endpoint, freeTokens) => memory.isOpen(poolOf(endpoint)!, freeTokens)
    })
    links.onPost(MEMORY_TOPIC, (message: MemoryMessage, from) => this.#serve(from, message))
    links.onPost(GRANTS_TOPIC, (message: GrantMessage, from) => this.#receive(message, from))
    memory.onDue = () => { this.#sendTimer ??= setTimeout(guarded('engine-memory-task', () => this.#send()), BATCH_MS) }
    memory.onKept = () => this.#giveUpLater()
  }

  /** Stops all messages. */
  stop (): void {
    clearTimeout(this.#sendTimer)
    clearTimeout(this.#allocateTimer)
    clearTimeout(this.#giveUpTimer)
    this.#options.memory.onDue = () => {}
  }

  /** Adds memory that was granted to this daemon and is not used to its load. */
  withGrants (loads: readonly EndpointWork[]): EndpointWork[] { return this.#options.memory.withGrants(loads) }

  /** Applies the load of the other daemons. */
  applyOthers (...args: Parameters<EngineMemory['applyOthers']>): void { this.#options.memory.applyOthers(...args) }

  /** Must be called right before each load report to the keeper, which includes all grants that have arrived. */
  beforeReport (): void {
    const { memory, accounts: { keeper } } = this.#options
    if (memory.takeChanged().length > 0) this.#post(keeper, { received: this.#receivedFrom(keeper), atMs: steadyNow(), wants: memory.takeWants() })
  }

  /** Must be called at the keeper with each load report that arrives. */
  reported (daemon: DaemonId, loads: readonly EndpointWork[]): void {
    this.#ledger.report(daemon, loads, steadyNow())
    this.#allocateSoon()
  }

  #send (): void {
    this.#sendTimer = undefined
    const { memory, accounts: { keeper } } = this.#options
    const held = memory.takeChanged()
    const wants = memory.takeWants()
    if (held.length + wants.length > 0) this.#post(keeper, { received: this.#receivedFrom(keeper), atMs: steadyNow(), held, wants })
  }

  #receivedFrom (keeper: DaemonId | undefined): number {
    return this.#received.from === keeper ? this.#received.number : 0
  }

  #post (keeper: DaemonId | undefined, message: MemoryMessage): void {
    this.#options.metrics.engineMemoryMessages.inc({ kind: 'report' })
    if (keeper === undefined) this.#serve(this.#options.self, message)
    else this.#options.links.post(keeper, MEMORY_TOPIC, message)
  }

  #serve (from: DaemonId, { received, atMs, held, wants }: MemoryMessage): void {
    const now = steadyNow()
    if (held) this.#ledger.update(from, { held, received }, now)
    else this.#ledger.confirm(from, received)
    if (wants.length > 0) {
      this.#ledger.want(from, wants, now)
      this.#askedAtMs.set(from, atMs)
    }
    this.#allocateSoon()
  }

  #allocateSoon (): void {
    if (this.#ledger.waiting > 0) this.#allocateTimer ??= setTimeout(guarded('engine-memory-task', () => this.#allocate()), ALLOCATE_MS)
  }

  #allocate (): void {
    this.#allocateTimer = undefined
    const { accounts, links, metrics, self } = this.#options
    const byDaemon = new Map<DaemonId, MemoryGrant[]>()
    for (const grant of this.#ledger.allocate({ share: accounts.keeperShare, now: steadyNow() })) byDaemon.set(grant.daemon, [...byDaemon.get(grant.daemon) ?? [], grant])
    for (const [daemon, grants] of byDaemon) {
      const message: GrantMessage = { number: grants.at(-1)!.number, askedAtMs: this.#askedAtMs.get(daemon)!, grants: grants.map(({ endpoint, tokens }) => [endpoint, tokens]) }
      metrics.engineMemoryMessages.inc({ kind: 'grant' })
      if (daemon === self) this.#receive(message, undefined)
      else links.post(daemon, GRANTS_TOPIC, message)
    }
    for (const daemon of this.#askedAtMs.keys()) if (!this.#ledger.isWaiting(daemon)) this.#askedAtMs.delete(daemon)
  }

  #receive ({ number, askedAtMs, grants }: GrantMessage, from: DaemonId | undefined): void {
    const { memory, accounts } = this.#options
    // What an earlier keeper granted is unknown to the one that counts now.
    if (from !== accounts.keeper) return
    this.#received = { from, number }
    if (steadyNow() - askedAtMs > MAX_GRANT_AGE_MS) return memory.declined(grants)
    memory.granted(grants)
    this.#giveUpLater()
  }

  #giveUpLater (): void {
    this.#giveUpTimer ??= setTimeout(guarded('engine-memory-task', () => {
      this.#giveUpTimer = undefined
      if (this.#options.memory.giveUp()) this.#send()
      if (this.#options.memory.hasUnused) this.#giveUpLater()
    }), GIVE_UP_INTERVAL_MS)
  }
}
