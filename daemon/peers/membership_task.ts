/** Runs the membership protocol over the links between daemons. */
import type { DaemonId, FailureDomain } from '../../core/ids/index.ts'
import { VersionedCache, HEARTBEAT_MS, Membership, isPresumedAlive, rankedFor, acceptsWork, type Fact, type Gossip, type Member, type MemberState, type MembershipEffect } from '../../core/membership/index.ts'
import type { Hash32 } from '../../core/routing/index.ts'
import { NO_VERSION } from '../../core/store_version/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import type { RegionTopology } from '../../core/topology/index.ts'
import { decodeValue, isStoreFailure, StoreError, type ObjectStore, type StoredObject } from '../../store/index.ts'
import type { Links } from './links.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode MembershipTask}. */
export interface MembershipTaskOptions {
  self: DaemonId
  /** Address to listen on for other daemons. */
  listen: { host: string, port: number }
  failureDomain: FailureDomain
  /** Regions: daemons gossip mostly within theirs, and candidates for a fleet-wide job are ranked by region first. Default: all daemons are in one region. */
  topology?: Pick<RegionTopology, 'hasRegions' | 'regionOf' | 'regionRank'>
  /** Processor cores available to this daemon on its host. Default: not announced. */
  cores?: number | undefined
  /** Addresses of a few other daemons; some may be stale. */
  seeds: readonly string[]
  store: ObjectStore
  links: Links
  hash: Hash32
  metrics: Metrics
  random: () => number
  /** Name under which the daemon registers in the store; a name that is stable across restarts leaves no stale entries. Default: its id. */
  registrationName?: string
}

/** Called with each new fact and the daemon it came from. */
export type FactListener = (fact: Fact, from: DaemonId) => void

const REGISTER_INTERVAL_MS = 300_000
const REGISTER_RETRY_MS = 3000
/** Age beyond which a registration is ignored: its daemon is dead. */
const REGISTRATION_TTL_MS = 3 * REGISTER_INTERVAL_MS
/** Longest time after a return of the store to a copy until a daemon has verified its registration, in milliseconds; spreads the calls of all daemons. */
const REGISTRATION_CHECK_MS = 3000
const JOIN_RETRY_MS = 2000
/** Daemons that a daemon that starts hears from before it counts as introduced. */
const INTRODUCTIONS = 2
/** Addresses dialed at once when joining: a few of them may belong to hosts that no longer exist. */
const MAX_JOIN_DIALS = 6
/** Time after which further addresses are dialed, in milliseconds, and how often: within the time for which a daemon waits to be introduced. */
const JOIN_ROUND_MS = 120
const MAX_JOIN_ROUNDS = 4
/** Time for the departure message to be sent before the links close, in milliseconds. */
const LEAVE_FLUSH_MS = 300
/** Ticks between probes of a daemon that was declared dead. */
const PROBE_INTERVAL_TICKS = 5
/** How long a gossip update waits for others to the same neighbor, in milliseconds. */
const GOSSIP_BATCH_MS = 20

/** Address of a daemon as stored under `members/`. */
interface Registration { id: DaemonId, address: string, atMs: number }

/** Maintains this daemon's view of the other daemons. */
export class MembershipTask {
  readonly links: Links
  readonly #options: MembershipTaskOptions
  readonly #factListeners: FactListener[] = []
  readonly #memberListeners: Array<(member: Member) => void> = []
  readonly #linkListeners: Array<(to: DaemonId) => void> = []
  readonly #pendingGossip = new Map<DaemonId, Gossip>()
  #core: Membership | undefined
  #timers: NodeJS.Timeout[] = []
  /** Addresses of a few other daemons, used until contact with one of them. */
  seeds: readonly string[]
  #registeredVersion = NO_VERSION
  #joined = false
  /** The first daemons that sent all that they know. */
  readonly #introducedBy = new Set<DaemonId>()
  /** Number of addresses of other daemons at which contact was sought. */
  #peersSought = Infinity
  #ticks = 0
  #successors: readonly Member[] = []
  /** Last logged state of each live daemon: records also change in fields that are not logged. */
  readonly #loggedStates = new Map<DaemonId, MemberState>()
  #noPeersKnown = false
  readonly #working = new VersionedCache<readonly Member[]>()
  readonly #reachable = new VersionedCache<readonly Member[]>()
  readonly #ranked = new Map<string, VersionedCache<readonly Member[]>>()

  constructor (options: MembershipTaskOptions) {
    this.#options = options
    this.seeds = options.seeds
    this.links = options.links
    options.store.era.onRise(() => { setTimeout(guarded('membership-task', async () => { if (this.#timers.length > 0) await this.#verifyRegistration() }), REGISTRATION_CHECK_MS * options.random()) })
    this.links.bind({
      onGossip: (from, gossip) => {
        this.#joined = true
        if (gossip.whole !== undefined && this.#introducedBy.size < INTRODUCTIONS) this.#introducedBy.add(from)
        this.#applyEffects(this.core.receive(from, gossip, steadyNow()))
      },
      onLink: (to) => {
        this.#applyEffects(this.core.handleLinkUp(to))
        for (const listener of this.#linkListeners) listener(to)
      }
    })
  }

  /**
   * The membership state machine.
   * @throws {Error} Before the task is started.
   */
  get core (): Membership {
    if (!this.#core) throw new Error('Cannot read members: task is not started')
    return this.#core
  }

  /** True after contact with another daemon, or when no other daemon is known. Before that, the others cannot find the answers held here. */
  get joined (): boolean { return this.#joined || this.#noPeersKnown }

  /**
   * True once this daemon has the member tables of others, or no other daemon is known. The first contact may be a daemon that starts at the same
   * time and knows nothing yet, so two tables are needed where there are as many daemons.
   */
  get introduced (): boolean { return this.#noPeersKnown || this.#introducedBy.size >= Math.min(INTRODUCTIONS, this.#peersSought) }

  /** Daemons that accept new work, including this one unless it is draining. */
  get acceptingWork (): readonly Member[] { return this.#working.get(this.core.version, () => this.core.members.filter(acceptsWork)) }

  /** Daemons that can presumably be reached: up, draining or suspect. */
  get reachable (): readonly Member[] { return this.#reachable.get(this.core.version, () => this.core.members.filter(isPresumedAlive)) }

  /** Candidates for a fleet-wide job, in order of preference; draining daemons are excluded. Those of one region come first, so that it holds the jobs steadily. */
  rankedFor (job: string): readonly Member[] {
    let ranked = this.#ranked.get(job)
    if (!ranked) {
      ranked = new VersionedCache()
      this.#ranked.set(job, ranked)
    }
    const { hash, topology } = this.#options
    const regionRank = ({ failureDomain }: Member) => topology?.regionRank(failureDomain) ?? 0
    return ranked.get(this.core.version, () => rankedFor(job, this.reachable.filter((member) => member.state !== 'draining'), hash).sort((a, b) => regionRank(a) - regionRank(b)))
  }

  /** True while this daemon ranks first for a job among all daemons it knows. */
  isFirstFor (job: string): boolean {
    return this.joined && this.rankedFor(job)[0]?.id === this.#options.self
  }

  /** Starts listening, joins the fleet and starts the heartbeat. */
  async start (): Promise<void> {
    const { listen, failureDomain, cores, self, hash, topology } = this.#options
    const address = await this.links.listen(listen.host, listen.port)
    this.#core = new Membership({ self: { id: self, address, failureDomain, ...(cores !== undefined && { cores }) }, hash, ...(topology?.hasRegions === true && { regionOf: (domain: FailureDomain) => topology.regionOf(domain) }), now: steadyNow() })
    this.#timers.push(setInterval(guarded('membership-task', () => this.#tick()), HEARTBEAT_MS), setInterval(guarded('membership-task', () => this.#register()), REGISTER_INTERVAL_MS))
    guarded('membership-task', () => this.#register())()
    guarded('membership-task', () => this.#join())()
  }

  /** Registers a listener for facts. */
  onFact (listener: FactListener): void {
    this.#factListeners.push(listener)
  }

  /** Registers a listener for changes to other daemons' records. */
  onMember (listener: (member: Member) => void): void {
    this.#memberListeners.push(listener)
  }

  /** Registers a listener for newly established links. */
  onLink (listener: (to: DaemonId) => void): void {
    this.#linkListeners.push(listener)
  }

  /** Publishes a fact to all daemons. */
  publishFact (fact: Fact): void {
    this.#applyEffects(this.core.setFact(fact, steadyNow()))
  }

  /** Updates this daemon's own record. */
  setSelf (change: Partial<Pick<Member, 'state' | 'revision' | 'heir'>>): void {
    this.#applyEffects(this.core.setSelf(change, steadyNow()))
  }

  /** Follows the chain of heirs to the first reachable daemon; undefined when there is none. */
  resolveHeir (id: DaemonId): Member | undefined {
    let member = this.core.member(id)
    for (let hops = 0; member && !isPresumedAlive(member) && member.heir !== undefined && hops < 8; hops++) member = this.core.member(member.heir)
    return member && isPresumedAlive(member) ? member : undefined
  }

  /**
   * Announces that this daemon left and which heir holds its answers, then closes.
   *
   * Closing immediately would drop the announcement while it is still in the send buffers: the others would treat the daemon as crashed, and
   * callers would wait for seconds until its heir is asked.
   */
  async leave (heir: DaemonId | undefined): Promise<void> {
    this.setSelf({ state: 'left', heir })
    await Promise.all([this.#unregister(), delay(LEAVE_FLUSH_MS)])
    await this.stop()
  }

  /** Closes without announcing it. */
  async stop (): Promise<void> {
    this.#timers.forEach(clearInterval)
    this.#timers = []
    await this.links.close()
  }

  #tick (): void {
    this.#applyEffects(this.core.tick(steadyNow()))
    if (++this.#ticks % PROBE_INTERVAL_TICKS === 0) this.#probeGone()
    this.links.maintain(steadyNow())
    const counts = new Map<string, number>()
    for (const member of this.core.members) counts.set(member.state, (counts.get(member.state) ?? 0) + 1)
    this.#options.metrics.members.reset()
    for (const [state, count] of counts) this.#options.metrics.members.set({ state }, count)
  }

  #applyEffects (effects: readonly MembershipEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'send') this.#send(effect.to, effect.gossip)
      else if (effect.type === 'links') this.#keepLinks(effect.dial)
      else if (effect.type === 'fact') this.#factListeners.forEach((listener) => listener(effect.fact, effect.from))
      else if (effect.member.id !== this.#options.self) this.#onMemberChange(effect.member)
    }
  }

  /**
   * Sends heartbeats and full tables immediately and batches updates.
   *
   * A new configuration changes every daemon's record at the same time; one message for each record would cost a daemon thousands of messages
   * in a burst.
   */
  #send (to: DaemonId, gossip: Gossip): void {
    if (gossip.members.length + gossip.facts.length === 0 || gossip.whole !== undefined) return this.links.gossip(to, gossip)
    const pending = this.#pendingGossip.get(to)
    if (pending) {
      pending.members.push(...gossip.members)
      pending.facts.push(...gossip.facts)
      return
    }
    this.#pendingGossip.set(to, { members: [...gossip.members], facts: [...gossip.facts] })
    setTimeout(guarded('membership-task', () => {
      this.links.gossip(to, latestPerMember(this.#pendingGossip.get(to)!))
      this.#pendingGossip.delete(to)
    }), GOSSIP_BATCH_MS)
  }

  #keepLinks (successors: readonly Member[], probed?: Member): void {
    this.#successors = successors
    this.links.keep([...successors, ...(probed ? [probed] : [])].map((member) => member.address))
  }

  /**
   * Periodically sends the membership table to a random daemon that was declared dead.
   *
   * In a partition between regions, each side declares the other dead and closes its links. Without probes neither side would contact the other
   * again after the partition heals. A daemon that learns it was declared dead refutes it.
   */
  #probeGone (): void {
    const gone = this.core.members.filter((member) => member.state === 'gone')
    const probed = gone[Math.floor(this.#options.random() * gone.length)]
    if (!probed) return
    this.#keepLinks(this.#successors, probed)
    this.#applyEffects(this.core.handleLinkUp(probed.id))
  }

  #onMemberChange (member: Member): void {
    if (this.#loggedStates.get(member.id) !== member.state) log('member-changed', { peer: member.id, state: member.state })
    if (isPresumedAlive(member)) this.#loggedStates.set(member.id, member.state)
    else this.#loggedStates.delete(member.id)
    for (const listener of this.#memberListeners) listener(member)
  }

  /** Finds other daemons through the seeds and the store; during a store outage, through the seeds alone. */
  async #join (): Promise<void> {
    const addresses = new Set([...this.seeds, ...await this.#registeredAddresses()])
    const own = this.core.self.address
    const others = [...addresses].filter((address) => address !== own)
    this.#noPeersKnown = others.length === 0
    this.#peersSought = others.length
    shuffle(others, this.#options.random)
    guarded('membership-task', () => this.#dialUntilIntroduced(others))()
    setTimeout(guarded('membership-task', async () => { if (!this.#joined && this.#timers.length > 0) await this.#join() }), JOIN_RETRY_MS)
  }

  /** Tries further addresses while none, or too few, of those before have answered: they may belong to daemons that have ended. */
  async #dialUntilIntroduced (addresses: readonly string[]): Promise<void> {
    for (let round = 0; round < MAX_JOIN_ROUNDS && round * MAX_JOIN_DIALS < addresses.length; round++) {
      if (round > 0 && (this.introduced || this.#timers.length === 0)) return
      const dialed = addresses.slice(round * MAX_JOIN_DIALS, (round + 1) * MAX_JOIN_DIALS)
      this.links.keep([...this.#successors.map(({ address }) => address), ...dialed])
      await delay(JOIN_ROUND_MS)
    }
  }

  async #registeredAddresses (): Promise<string[]> {
    try {
      const found = await this.#options.store.list('members/')
      const oldestAtMs = Date.now() - REGISTRATION_TTL_MS
      return found.flatMap((object) => decodeRegistration(object) ?? []).filter((entry) => entry.atMs > oldestAtMs).map((entry) => entry.address)
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      return []
    }
  }

  async #register (): Promise<void> {
    const { self, store } = this.#options
    const value = JSON.stringify({ id: self, address: this.core.self.address, atMs: Date.now() } satisfies Registration)
    try {
      this.#registeredVersion = this.#registeredVersion === NO_VERSION ? await store.create(this.#registrationKey, value) : await store.update(this.#registrationKey, value, this.#registeredVersion)
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      // Only this daemon writes the key: a conflict stems from its own unacknowledged write or from an earlier process.
      if (isStoreFailure(err, 'conflict')) await this.#reregister(value)
      else this.#scheduleRegistration(err)
    }
  }

  /** Registers again if the store has lost the registration by returning to a copy. */
  async #verifyRegistration (): Promise<void> {
    try {
      const found = await this.#options.store.get(this.#registrationKey)
      const registered = found && decodeRegistration(found)
      this.#registeredVersion = found?.version ?? NO_VERSION
      if (registered?.id !== this.#options.self) await this.#register()
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      this.#scheduleRegistration(err)
    }
  }

  async #reregister (value: string): Promise<void> {
    const { store } = this.#options
    try {
      const found = await store.get(this.#registrationKey)
      this.#registeredVersion = found ? await store.update(this.#registrationKey, value, found.version) : await store.create(this.#registrationKey, value)
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      this.#registeredVersion = NO_VERSION
      this.#scheduleRegistration(err)
    }
  }

  /** Until the daemon is registered, only daemons it contacts itself can find it. */
  #scheduleRegistration (err: StoreError): void {
    log('not-registered', { why: err.message })
    setTimeout(guarded('membership-task', async () => { if (this.#timers.length > 0) await this.#register() }), REGISTER_RETRY_MS * (0.5 + this.#options.random()))
  }

  get #registrationKey (): string {
    return `members/${this.#options.registrationName ?? this.#options.self}`
  }

  async #unregister (): Promise<void> {
    await this.#options.store.remove(this.#registrationKey, this.#registeredVersion).catch((err: Error) => log('not-registered', { why: err.message }))
  }
}

/** Returns undefined for a registration that no daemon wrote. */
function decodeRegistration (object: StoredObject): Registration | undefined {
  try {
    return decodeValue(object, isRegistration)
  } catch (err) {
    if (!(err instanceof StoreError)) throw err
    return undefined
  }
}

function isRegistration (value: unknown): value is Registration {
  const { id, address, atMs } = (value ?? {}) as Partial<Registration>
  return typeof id === 'string' && typeof address === 'string' && Number.isFinite(atMs)
}

/** Keeps the latest record of each member: one that changed several times within a batch is sent once. */
function latestPerMember (gossip: Gossip): Gossip {
  return { ...gossip, members: [...new Map(gossip.members.map((member) => [member.id, member])).values()] }
}

function shuffle<T> (items: T[], random: () => number): void {
  for (let i = items.length - 1; i > 0; i--) {
    const j = Math.floor(random() * (i + 1))
    ;[items[i], items[j]] = [items[j]!, items[i]!]
  }
}
