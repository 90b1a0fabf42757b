import fc from 'fast-check'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, type DaemonId } from '../../core/ids/index.ts'
import { eraOf, NO_VERSION, revisionOf, storeVersion } from '../../core/store_version/index.ts'
import { delay } from '../../core/time/index.ts'
import { StandInNetwork, StandInStore, type StandInLinks } from '../../standins/index.ts'
import { EraTracker, StoreError, type ObjectStore } from '../../store/index.ts'
import { createMetrics } from '../metrics.ts'
import { shareStoreEra } from '../peers/era_sharing.ts'
import { MembershipTask } from '../peers/membership_task.ts'
import { StoreRelay } from '../peers/store_relay.ts'
import { seededRandom } from '../seeded_random.ts'
import { ConfigFollower } from './config_follower.ts'

const KEY = 'config/main'
/** Time within which a revision is in force at a daemon that the store serves, in milliseconds. */
const APPLY_MS = 2000
/** The same at a daemon that the store refuses while it serves others. */
const REFUSED_APPLY_MS = 7000

const { h32: hash } = await xxhash()

beforeEach(() => { vi.useFakeTimers() })
afterEach(async () => {
  await fleet.stop()
  vi.useRealTimers()
})

interface Config { revision: number }

interface Node {
  id: DaemonId
  links: StandInLinks
  membership: MembershipTask
  follower: ConfigFollower<Config>
  /** The store refuses each call of this daemon. */
  refused: boolean
  /** Time until this daemon handles a call of a peer. */
  busyMs: number
}

/** Options of {@linkcode Fleet.start}. */
interface FleetOptions {
  /** Number of daemons in a failure domain that watch the store; the others poll it once a minute. Default: all follow it through relays. */
  watchersPerDomain?: number
}

/** Daemons that follow the configuration as a running daemon does. */
class Fleet {
  readonly store = new StandInStore()
  readonly network = new StandInNetwork()
  readonly nodes: Node[] = []
  #version = NO_VERSION

  async start (daemons: number, domains: number, options: FleetOptions = {}): Promise<void> {
    this.#version = await this.store.create(KEY, '{"revision":1}')
    for (let i = 0; i < daemons; i++) await this.add(`edge-${i}`, `domain-${i % domains}`, options)
    await vi.advanceTimersByTimeAsync(8000)
    expect(this.late(1)).toEqual([])
  }

  async add (name: string, failureDomain: string, { watchersPerDomain }: FleetOptions = {}): Promise<Node> {
    const id = as<DaemonId>(name)
    const links = this.network.join(id)
    const random = seededRandom(hash(name))
    const metrics = createMetrics()
    const node = { id, links, refused: false, busyMs: 0 } as Node
    delayCalls(links, () => node.busyMs)
    const store = this.#accessOf(node)
    node.membership = new MembershipTask({ self: id, listen: { host: '', port: 0 }, failureDomain: as(failureDomain), seeds: this.nodes.slice(0, 3).map((other) => `node:${other.id}`), store, links, hash, metrics, random })
    const { membership } = node
    shareStoreEra(store.era, { membership, metrics })
    const relay = new StoreRelay({ store, links, self: () => membership.core.self, acceptingWork: () => membership.acceptingWork, hash, metrics, propagationMs: APPLY_MS })
    node.follower = new ConfigFollower<Config>({
      self: id,
      store: watchersPerDomain === undefined ? relay.source(KEY) : store,
      key: KEY,
      decode: (text) => JSON.parse(text) as Config,
      membership,
      metrics,
      hash,
      random,
      waitMs: relay.watchWaitMs,
      watchersPerDomain: watchersPerDomain ?? Infinity,
      publishesRevision: false
    })
    await membership.start()
    node.follower.start()
    this.nodes.push(node)
    return node
  }

  async change (revision: number): Promise<void> {
    this.#version = await this.store.update(KEY, JSON.stringify({ revision }), this.#version)
  }

  /**
   * Has the store lose a revision by returning to a copy, the lost one written again, and then the next one. Between the two, as many other objects are written
   * as were lost, and `reused` more.
   */
  async changeAfterReturn (revision: number, { reused = 0 } = {}): Promise<void> {
    const copied = this.#version
    this.store.takeCopy()
    for (let i = 0; i < 50; i++) await this.store.create(`unrelated/${i}`, '{}')
    await this.change(revision)
    await vi.advanceTimersByTimeAsync(APPLY_MS)
    expect(this.late(revision)).toEqual([])
    this.store.returnToCopy({ cut: reused === 0 })
    for (let i = 0; i < reused; i++) await this.store.create(`unrelated/${i}`, '{}')
    this.#version = storeVersion(eraOf(copied) + 1, revisionOf(copied))
    await this.change(revision)
    await this.change(revision + 1)
  }

  /** Ends a daemon without notice. */
  async end (node: Node): Promise<void> {
    this.nodes.splice(this.nodes.indexOf(node), 1)
    node.follower.stop()
    await node.membership.stop()
  }

  /** Cuts a daemon off from all others. */
  cutOff (node: Node): void {
    for (const other of this.nodes) if (other !== node) this.network.part(node.id, other.id, true)
  }

  async stop (): Promise<void> {
    for (const node of [...this.nodes]) await this.end(node)
  }

  /** Daemons among the given ones at which an older revision is in force. */
  late (revision: number, nodes: readonly Node[] = this.nodes): DaemonId[] {
    return nodes.filter(({ follower }) => (follower.inForce?.revision ?? 0) < revision).map(({ id }) => id)
  }

  #accessOf (node: Node): ObjectStore {
    const { store } = this
    const era = new EraTracker()
    const guarded = async <T>(call: () => Promise<T>): Promise<T> => {
      if (node.refused) throw new StoreError('Cannot call: status 503', { failure: 'not-applied' })
      const answer = await call()
      era.checkAnswer(store.era.current, 'call')
      return answer
    }
    return {
      era,
      get: (key) => guarded(() => store.get(key)),
      list: (prefix, options) => guarded(() => store.list(prefix, options)),
      snapshot: (prefix) => guarded(() => store.snapshot(prefix)),
      create: (key, value) => guarded(() => store.create(key, value)),
      update: (key, value, version) => guarded(() => store.update(key, value, version)),
      remove: (key, version) => guarded(() => store.remove(key, version)),
      // A watch that was waiting when the store began to refuse this daemon fails, too.
      changes: (prefix, options) => guarded(async () => {
        era.checkContinues(options.after, 'watch')
        const changes = await store.changes(prefix, options)
        return await guarded(async () => changes)
      })
    }
  }
}

/** Delays the handling of calls from peers, as on a host that is short of processor time. */
function delayCalls (links: StandInLinks, delayMs: () => number): void {
  const handle = links.handle.bind(links)
  links.handle = (method, handler) => handle(method, async (args, context) => {
    if (delayMs() > 0) await delay(delayMs())
    return await handler(args, context)
  })
}

let fleet: Fleet

async function started (daemons: number, domains: number, options?: FleetOptions): Promise<Fleet> {
  fleet = new Fleet()
  await fleet.start(daemons, domains, options)
  return fleet
}

/** Makes the daemon that first has a revision fail as soon as it has announced it. */
function failOnceAnnounced (revision: number, fail: (node: Node) => void): void {
  let failed = false
  for (const node of fleet.nodes) {
    node.follower.onChange((config) => {
      if (failed || config.revision !== revision) return
      failed = true
      setTimeout(() => fail(node), 22)
    })
  }
}

test('a revision is in force in time at daemons whose announcing peer ends before they fetched it', async () => {
  // Guards against an announced revision that is fetched once, from one peer, and never again.
  await started(9, 3, { watchersPerDomain: 1 })
  failOnceAnnounced(2, (node) => { fleet.end(node) })
  for (const node of fleet.nodes) node.busyMs = 10
  await fleet.change(2)
  await vi.advanceTimersByTimeAsync(APPLY_MS)
  expect(fleet.late(2)).toEqual([])
})

test('a revision is in force in time at daemons that the store refuses, although the peer that announced it did not have it yet', async () => {
  // Guards against a peer that forwards the announcement before it has the revision, and then returns its older one.
  const { nodes } = await started(30, 3)
  const [served, ...others] = nodes
  for (const node of others) node.refused = true
  served!.busyMs = 300
  // The watches that are waiting fail, so that each daemon learns that the store refuses it.
  await vi.advanceTimersByTimeAsync(5000)
  await fleet.change(2)
  await vi.advanceTimersByTimeAsync(APPLY_MS)
  expect(fleet.late(2, [served!])).toEqual([])
  await vi.advanceTimersByTimeAsync(REFUSED_APPLY_MS - APPLY_MS)
  expect(fleet.late(2)).toEqual([])
})

test.each([[9, 0], [9, 100], [87, 100]])('a revision is in force in time at %i daemons after the store has returned to a copy without the one before it (%i revisions given out again)', async (daemons, reused) => {
  // Guards against a configuration that is dropped since the lost one had a higher revision of the store.
  await started(daemons, 3)
  await fleet.changeAfterReturn(2, { reused })
  await vi.advanceTimersByTimeAsync(APPLY_MS)
  expect(fleet.late(3)).toEqual([])
}, 120_000)

test('a revision is in force in time at daemons that the store refuses after its return', async () => {
  const { nodes } = await started(30, 3)
  await fleet.changeAfterReturn(2)
  const [served, ...others] = nodes
  for (const node of others) node.refused = true
  await vi.advanceTimersByTimeAsync(APPLY_MS)
  expect(fleet.late(3, [served!])).toEqual([])
  await vi.advanceTimersByTimeAsync(REFUSED_APPLY_MS - APPLY_MS)
  expect(fleet.late(3)).toEqual([])
})

test('a revision is in force in time at a daemon whose announcing peer is cut off from it', async () => {
  // Guards against a fetch that waits for a silent peer for longer than the revision may take.
  await started(9, 3, { watchersPerDomain: 1 })
  failOnceAnnounced(2, (node) => fleet.cutOff(node))
  for (const node of fleet.nodes) node.busyMs = 10
  await fleet.change(2)
  await vi.advanceTimersByTimeAsync(APPLY_MS)
  expect(fleet.late(2)).toEqual([])
})

test('a revision that no peer can return is asked for ever less often, and fetched once a peer has it', async () => {
  // Guards against a fleet that keeps asking itself for a revision whose holders are gone while the store is down.
  const { nodes, store } = await started(12, 3)
  let calls = 0
  for (const { links } of nodes) {
    const call = links.call.bind(links)
    links.call = (to, method, args, options) => {
      if (method === 'config') calls++
      return call(to, method, args, options)
    }
  }
  for (const node of nodes) node.refused = true
  store.disconnectWatches()
  await vi.advanceTimersByTimeAsync(3000)
  nodes[0]!.membership.publishFact({ key: 'config', version: 2, value: null })
  await vi.advanceTimersByTimeAsync(20_000)
  calls = 0
  await vi.advanceTimersByTimeAsync(20_000)
  expect(calls / 20 / nodes.length).toBeLessThanOrEqual(1)
  await fleet.change(2)
  nodes[5]!.refused = false
  await vi.advanceTimersByTimeAsync(REFUSED_APPLY_MS)
  expect(fleet.late(2)).toEqual([])
})

/** Disturbance of one daemon, in effect until its next one. */
type Fault = 'none' | 'refused' | 'busy' | 'ends-once-announced'
interface Step { daemon: number, fault: Fault, afterMs: number, changes: boolean }

test('random schedules: a revision is in force in time wherever the store or a peer that has it can be reached', async () => {
  // Guards against a daemon that misses a revision because one step between it and the store failed once.
  const step = fc.record({
    daemon: fc.nat(11),
    fault: fc.constantFrom<Fault>('none', 'refused', 'busy', 'ends-once-announced'),
    afterMs: fc.integer({ min: 0, max: 3000 }),
    changes: fc.boolean()
  })
  await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 4, maxLength: 12 }), fc.constantFrom(1, undefined), async (steps: Step[], watchersPerDomain) => {
    await started(12, 3, watchersPerDomain === undefined ? {} : { watchersPerDomain })
    // One daemon is never disturbed, so that each revision has a daemon that reads it from the store.
    const [served] = fleet.nodes
    let revision = 1
    for (const { daemon, fault, afterMs, changes } of steps) {
      const node = fleet.nodes[daemon % fleet.nodes.length]!
      if (node !== served) {
        node.refused = fault === 'refused'
        node.busyMs = fault === 'busy' ? 300 : 0
        if (fault === 'ends-once-announced' && fleet.nodes.length > 6) {
          const next = revision + 1
          node.follower.onChange((config) => { if (config.revision === next) setTimeout(() => { if (fleet.nodes.includes(node)) fleet.end(node) }, 22) })
        }
      }
      await vi.advanceTimersByTimeAsync(afterMs)
      if (!changes) continue
      await fleet.change(++revision)
      await vi.advanceTimersByTimeAsync(APPLY_MS)
      const inTouch = fleet.nodes.filter((each) => !each.refused)
      if (watchersPerDomain === undefined) expect(fleet.late(revision, inTouch)).toEqual([])
      await vi.advanceTimersByTimeAsync(REFUSED_APPLY_MS - APPLY_MS)
      expect(fleet.late(revision)).toEqual([])
    }
    await fleet.stop()
  }), { numRuns: 40, seed: 44 })
}, 240_000)
