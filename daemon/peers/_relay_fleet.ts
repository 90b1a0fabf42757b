/** Test scaffolding: a fleet of daemons in one process that follow a store through each other. */
import { as, type DaemonId, type FailureDomain, type Region } from '../../core/ids/index.ts'
import type { Member } from '../../core/membership/index.ts'
import { sourcePlan } from '../../core/relay/index.ts'
import type { Hash32 } from '../../core/routing/index.ts'
import { eraOf, type StoreVersion } from '../../core/store_version/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { RegionTopology } from '../../core/topology/index.ts'
import { StandInNetwork, StandInStore } from '../../standins/index.ts'
import { EraTracker, StoreError, StoreFollower, type ObjectSource } from '../../store/index.ts'
import { createMetrics } from '../metrics.ts'
import { StoreRelay } from './store_relay.ts'

/** Time limit for a change to reach every daemon, in milliseconds. */
export const PROPAGATION_MS = 2000
/** The prefix that the daemons follow. */
export const PREFIX = 'servers/'
/** Grace period after its wait before an unanswered watch fails, as in the platform's client, in milliseconds. */
const WATCH_GRACE_MS = 750
/** Latency of a message between regions, in milliseconds. */
const FAR_LATENCY_MS = 20

/** One daemon's access to the store, which can be cut off or left without answers. */
export class StoreAccess implements ObjectSource {
  /** What this daemon knows of the store's era. */
  readonly era = new EraTracker()
  isCutOff = false
  isUnanswered = false
  /** Calls of this daemon, with those that were refused. */
  calls = 0
  readonly #store: StandInStore

  constructor (store: StandInStore) {
    this.#store = store
  }

  async snapshot (prefix: string) {
    this.calls++
    if (this.isCutOff) throw new StoreError('Cannot list: cut off', { failure: 'unsure' })
    const found = await this.#store.snapshot(prefix)
    this.era.checkAnswer(eraOf(found.version), `list ${prefix}`)
    return found
  }

  async changes (prefix: string, options: { after: StoreVersion, waitMs: number }) {
    this.calls++
    if (this.isCutOff) throw new StoreError('Cannot watch: cut off', { failure: 'unsure' })
    this.era.checkContinues(options.after, `watch ${prefix}`)
    const givenUpAtMs = steadyNow() + options.waitMs + WATCH_GRACE_MS
    const found = await this.#store.changes(prefix, options)
    if (this.isCutOff) throw new StoreError('Cannot watch: cut off', { failure: 'unsure' })
    if (!this.isUnanswered) return found
    // The answer is never read: the call hangs until it times out.
    await delay(givenUpAtMs - steadyNow())
    throw new StoreError('Cannot watch: no answer', { failure: 'unsure' })
  }
}

/** A daemon of the fleet and what it knows. */
export interface Node { member: Member, access: StoreAccess, keys: ReadonlySet<string>, follower: StoreFollower, topology: RegionTopology }

/** A fleet of daemons that follow one prefix, on a paused clock. */
export class Fleet {
  readonly store = new StandInStore()
  readonly network = new StandInNetwork({ latencyMs: (from, to) => (this.isFar(from, to) ? FAR_LATENCY_MS : 1) })
  readonly nodes: Node[] = []
  readonly #nodesById = new Map<DaemonId, Node>()
  readonly #hash: Hash32
  readonly #advance: (ms: number) => Promise<void>

  /** @param options.advance Advances the paused clock, in milliseconds. */
  constructor ({ hash, advance }: { hash: Hash32, advance: (ms: number) => Promise<void> }) {
    this.#hash = hash
    this.#advance = advance
  }

  /**
   * Starts daemons and waits until they follow the store.
   * @param regions Region of each failure domain, by the domain's number.
   */
  async start (daemons: number, domains: number, regions: readonly string[] = []): Promise<void> {
    const regionOf = new Map(regions.map((region, i) => [as<FailureDomain>(`domain-${i}`), as<Region>(region)]))
    const members = Array.from({ length: daemons }, (_, i): Member => ({
      id: as<DaemonId>(`edge-${i}`), incarnation: 1, state: 'up', address: `node:edge-${i}`, failureDomain: as<FailureDomain>(`domain-${i % domains}`), revision: 0, heir: undefined
    }))
    for (const member of members) {
      const links = this.network.join(member.id)
      await links.listen()
      const access = new StoreAccess(this.store)
      const topology = new RegionTopology({ ownDomain: member.failureDomain, regions: regionOf })
      const relay = new StoreRelay({ store: access, links, topology, self: () => member, acceptingWork: () => members, hash: this.#hash, metrics: createMetrics(), propagationMs: PROPAGATION_MS })
      const follower = new StoreFollower({ onError: (err) => { throw err }, store: relay.source(PREFIX), prefix: PREFIX, random: () => 0.5, waitMs: relay.watchWaitMs, onChange: (objects) => { node.keys = new Set(objects.keys()) } })
      const node: Node = { member, access, keys: new Set(), follower, topology }
      follower.start()
      this.nodes.push(node)
      this.#nodesById.set(member.id, node)
    }
    await this.#advance(5000)
  }

  stop (): void {
    for (const { follower } of this.nodes) follower.stop()
  }

  async write (name: string): Promise<void> {
    await this.store.create(PREFIX + name, '{}')
  }

  /** Milliseconds until all the nodes know exactly these names. */
  async timeUntilKnown (names: readonly string[], nodes = this.nodes, giveUpAtMs = steadyNow() + 20_000): Promise<number> {
    const startMs = steadyNow()
    const wanted = names.map((name) => PREFIX + name).sort().join()
    while (nodes.some(({ keys }) => [...keys].sort().join() !== wanted)) {
      if (steadyNow() >= giveUpAtMs) return Infinity
      await this.#advance(10)
    }
    return steadyNow() - startMs
  }

  /** The daemons that a node asks before the store, derived from the membership alone. */
  sourcesOf ({ member, topology }: Node): Member[] {
    return sourcePlan(member, this.nodes.map((node) => node.member), { hash: this.#hash, topology }).beforeStore.map((source) => source.member)
  }

  isFar (a: DaemonId, b: DaemonId): boolean {
    const [from, to] = [a, b].map((id) => this.#nodesById.get(id))
    return from !== undefined && to !== undefined && !from.topology.isLocal(to.member.failureDomain)
  }

  /** Calls of all daemons to the store, with those that were refused. */
  get calls (): number { return this.nodes.reduce((sum, { access }) => sum + access.calls, 0) }

  /** Daemons that watch the store themselves. */
  get watchers (): Node[] {
    return this.nodes.filter((node) => this.sourcesOf(node).length === 0)
  }

  /** Daemons that others ask first. */
  get asked (): Node[] {
    const ids = new Set(this.nodes.map((node) => this.sourcesOf(node)[0]?.id))
    return this.nodes.filter(({ member }) => ids.has(member.id))
  }
}
