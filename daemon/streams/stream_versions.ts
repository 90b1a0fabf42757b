/** Records at which version streams began, and finds out where a stream that a caller resumes began. */
import type { DaemonId, PoolName, StreamKey } from '../../core/ids/index.ts'
import type { Member } from '../../core/membership/index.ts'
import type { EndpointView, Hash32 } from '../../core/routing/index.ts'
import { causeOfUnknown, HOLDER_COUNT, judgeVersion, VersionRecords, PoolVersions, rankHolders, type VersionRecord, type VersionEvidence, type VersionVerdict, type StreamVersion, type UnknownCause, type RequestOrigin } from '../../core/streams/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import type { Metrics } from '../metrics.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import { decodeRecords, decodeEvidence, encodeEvidence, FIND_METHOD, RECORDS_TOPIC, RESUMED_TOPIC, type VersionQuery, type VersionReply, type RecordsMessage, type ResumedMessage } from './_messages.ts'
import { RecordSender, type KeyedRecord } from './_record_sender.ts'
import type { PoolHistory } from './pool_history.ts'
import type { RecordArchive } from './record_archive.ts'

/** Options of {@linkcode StreamVersions}. */
export interface StreamVersionsOptions {
  self: DaemonId
  membership: Pick<MembershipTask, 'links' | 'acceptingWork' | 'reachable' | 'joined'>
  /** Returns the number of hosts in the fleet, including those that cannot be reached now. */
  hostCount (): number
  hash: Hash32
  metrics: Pick<Metrics, 'streamVersions' | 'streamRecords' | 'unknownStreams'>
  history: Pick<PoolHistory, 'confirm' | 'isCertain'>
  /** Returns the time since the registry last answered, in milliseconds; undefined if it never did. */
  registryAgeMs (): number | undefined
  /** Keeps records beyond the end of all daemons. Default: they live in the memory of daemons alone. */
  archive?: Pick<RecordArchive, 'add' | 'find' | 'restored' | 'onRead'>
}

/** A stream that a caller resumes. */
export interface ResumedStream {
  /** Undefined if the caller does not name the request that brought the first event. */
  key: StreamKey | undefined
  /** The pool that serves the stream's requests; undefined if several do. */
  pool: PoolName | undefined
  /** Where its requests come in. Default: all requests that the pool serves came to it ever since. */
  origin?: RequestOrigin
  /** Longest time for which the stream may have lived, in milliseconds. */
  lifeMs: number
}

/** A stream that was resumed with another request. */
export interface Resumption {
  /** The daemon that runs the request. */
  by: DaemonId
  /** Number of events that the caller had. */
  from: number
}

/** Where a stream began, and how that was found out. */
export interface VersionFinding {
  verdict: VersionVerdict
  /** Why that is not known; undefined if it is. */
  cause: UnknownCause | undefined
  /** Number of other daemons that answered. */
  answered: number
  /** What the verdict rests on: what this daemon knew, then what each of the others replied. */
  evidence: readonly VersionEvidence[]
  waitedMs: number
}

/** Options of {@linkcode StreamVersions.began}. */
export interface BegunStream {
  /** Longest time from now on in which the caller may resume the stream, in milliseconds. */
  lifeMs: number
  /** True if several pools serve the stream's requests, so that what is known of one pool does not tell where the stream began. Default false. */
  isSplit?: boolean
  /** Where its requests come in. Default: all requests that the pool serves came to it ever since. */
  origin?: RequestOrigin
}

/** Record of a stream that this daemon passes on, or did before another one took it over. */
interface OwnRecord extends VersionRecord {
  lifeMs: number
  origin: RequestOrigin | undefined
  isSent: boolean
}

/** Daemons that are asked at once: twice as many as hold a record, since members may have joined or left in between. */
const ASKED_AT_ONCE = 2 * HOLDER_COUNT
/** Time to wait for the answers of one round, in milliseconds. */
const ANSWER_TIMEOUT_MS = 300
/** Rounds in which daemons are asked: in the first a record may still be on its way. */
const MAX_ROUNDS = 3
const ROUND_INTERVAL_MS = 50
/** Daemons of a round that are asked to read the store, if this one cannot. */
const READERS_ASKED = 3
/** Time in which a daemon that is asked reads the store, in milliseconds. */
const ASKED_READ_MS = 250
/** Time to wait for the answers of a round in which daemons read the store, in milliseconds. */
const READ_ANSWER_TIMEOUT_MS = 450
/** Time that a daemon that has just started has to find others, in milliseconds. */
const JOIN_WAIT_MS = 1000
const JOIN_POLL_MS = 20
/** Time for which another daemon waits at most until this one has read the stored records, in milliseconds. */
const RESTORE_WAIT_MS = 200

/**
 * Knows where streams began.
 *
 * The daemon that passes the first event of a stream to its caller records the version, and sends the record to {@linkcode HOLDER_COUNT} others along with that event. It
 * sends nothing while it is certain that the pool has had one version only for as long as a stream lives, and no other pool serves the stream's requests: then any daemon that can read the store can tell.
 */
export class StreamVersions {
  readonly #options: StreamVersionsOptions
  readonly #sender: RecordSender
  readonly #versions = new PoolVersions()
  /** Records of streams that this daemon passes on. */
  readonly #own = new VersionRecords<OwnRecord>()
  /** Records held for other daemons. */
  readonly #held = new VersionRecords()
  /** Records that the store had when it was last listed: apart, since those of a large fleet would evict the ones held. */
  #stored: ReadonlyMap<StreamKey, VersionRecord> = new Map()
  /** Called when the caller of a stream of this daemon resumes it with another request elsewhere. Returns false if this daemon has a request that is not older. */
  onResumed: (key: StreamKey, resumption: Resumption) => boolean = () => true

  constructor (options: StreamVersionsOptions) {
    this.#options = options
    this.#sender = new RecordSender(options)
    const { links } = options.membership
    links.onPost(RECORDS_TOPIC, (message: RecordsMessage, from) => {
      const now = steadyNow()
      for (const [key, record] of decodeRecords(message, from, now)) this.#held.set(key, record, now)
    })
    links.onPost(RESUMED_TOPIC, ([key, from]: ResumedMessage, by) => {
      const isOver = this.onResumed(key, { by, from })
      const record = this.#own.get(key, steadyNow())
      if (isOver && record) record.daemon = by
    })
    links.handle(FIND_METHOD, async (query: VersionQuery): Promise<VersionReply> => ({ ...encodeEvidence(await this.#answer(query)), ...(query.origin && { ofOrigin: true }) }))
    if (options.archive) options.archive.onRead = (records) => { this.#stored = records }
  }

  /** Number of records: own, held for other daemons, and read from the store. */
  get size (): number { return this.#own.size + this.#held.size + this.#stored.size }

  /** Must be called with all endpoints after each change to them. */
  endpointsChanged (views: readonly EndpointView[]): void {
    if (this.#versions.record(views, steadyNow())) this.#sendUncertain()
  }

  /** Must be called when a pool is not certain any more, as when the registry stops answering: versions that come from then on are not seen here. */
  certaintyLost (): void {
    this.#sendUncertain()
  }

  /** Records the first event that this daemon passes on of a stream that its caller may resume. */
  began (key: StreamKey, streamVersion: StreamVersion, { lifeMs, isSplit = false, origin }: BegunStream): void {
    const now = steadyNow()
    const mayBeElsewhere = isSplit || (origin !== undefined && !this.#options.history.isCertain(streamVersion.pool, origin))
    if (!mayBeElsewhere && streamVersion.version === undefined && this.#versions.seen(streamVersion.pool, now - lifeMs).every((version) => version === undefined)) return
    const isSent = mayBeElsewhere || !this.#isOnlyVersion(streamVersion, { lifeMs, origin })
    const record = { streamVersion, daemon: this.#options.self, expiresAtMs: now + lifeMs, lifeMs, origin, isSent }
    this.#own.set(key, record, now)
    if (isSent) this.#send([[key, record]])
  }

  /** Sends all records to other daemons, since this one leaves. */
  handOver (): void {
    const now = steadyNow()
    this.#sender.send([...this.#held.entries(now), ...this.#own.entries(now)])
  }

  /** Finds out where a stream began, from this daemon's records or by asking others. */
  async find (stream: ResumedStream): Promise<VersionFinding> {
    const startedAtMs = steadyNow()
    const { archive, membership, metrics } = this.#options
    if (!this.#recordOf(stream)) await archive?.restored
    const evidence = [this.#evidenceOf(stream)]
    const { pool } = stream
    const answeredBy = new Set<DaemonId>()
    let verdict: VersionVerdict = this.#judge(evidence, stream, answeredBy)
    let isStoreRead = archive === undefined
    let round = 0
    if (verdict.type !== 'recorded') {
      const confirmed = pool === undefined ? undefined : this.#options.history.confirm(pool, { origin: stream.origin })
      await this.#joined(startedAtMs)
      do {
        if (round > 0) await delay(ROUND_INTERVAL_MS)
        const [confirmation, isRead] = await Promise.all([
          round === 0 ? confirmed : undefined,
          round > 0 && !isStoreRead ? this.#readStore(stream, evidence) : isStoreRead,
          this.#ask(stream, { round, evidence, answeredBy })
        ])
        isStoreRead = isRead
        if (confirmation) evidence[0]!.confirmation = confirmation
        verdict = this.#judge(evidence, stream, answeredBy)
      } while (verdict.type !== 'recorded' && verdict.type !== 'only-version' && ++round < MAX_ROUNDS)
    }
    metrics.streamVersions.inc({ result: verdict.type === 'recorded' && round > 0 ? 'recorded-late' : verdict.type })
    const cause = causeOfUnknown(verdict, evidence, { isNamed: stream.key !== undefined, isJoined: membership.joined, isStoreRead })
    if (cause) metrics.unknownStreams.inc({ cause })
    return { verdict, cause, answered: answeredBy.size, evidence, waitedMs: steadyNow() - startedAtMs }
  }

  /**
   * Must be called when the request that resumes a stream has a place here. The daemon that passed the stream on ends its run: a stream has one at a time.
   * @param options.from Number of events that the caller had.
   */
  async resumed (key: StreamKey, { daemon, from }: { daemon: DaemonId, from: number }): Promise<void> {
    const { self, membership: { links, reachable } } = this.#options
    if (daemon === self) return
    const member = reachable.find(({ id }) => id === daemon)
    const isLinked = links.isLinked(daemon) || (member !== undefined && await links.connect(member) === 'linked')
    if (isLinked) links.post(daemon, RESUMED_TOPIC, [key, from] satisfies ResumedMessage)
  }

  /** Adds the stored record of a stream to the evidence. Returns false if the store could not be read. */
  async #readStore ({ key }: ResumedStream, evidence: VersionEvidence[]): Promise<boolean> {
    const { archive } = this.#options
    if (!archive || key === undefined) return true
    const { record, isRead } = await archive.find(key)
    if (record) evidence.push({ record, versions: [] })
    return isRead
  }

  #recordOf ({ key }: Pick<VersionQuery, 'key'>): VersionRecord | undefined {
    const now = steadyNow()
    if (key === undefined) return undefined
    const stored = this.#stored.get(key)
    return this.#own.get(key, now) ?? this.#held.get(key, now) ?? (stored && stored.expiresAtMs > now ? stored : undefined)
  }

  /** Sends own records to other daemons, and stores them. */
  #send (records: readonly KeyedRecord[]): void {
    this.#sender.send(records)
    this.#options.archive?.add(records)
  }

  #judge (evidence: readonly VersionEvidence[], { pool }: ResumedStream, answeredBy: ReadonlySet<DaemonId>): VersionVerdict {
    return judgeVersion(evidence, { pool, others: this.#options.hostCount() - 1, answered: answeredBy.size })
  }

  async #joined (startedAtMs: number): Promise<void> {
    while (!this.#options.membership.joined && steadyNow() - startedAtMs < JOIN_WAIT_MS) await delay(JOIN_POLL_MS)
  }

  /** Asks the daemons that probably hold the record, after the first round all that may. Resolves once one of them has it, or all have answered. */
  async #ask (stream: ResumedStream, { round, evidence, answeredBy }: { round: number, evidence: VersionEvidence[], answeredBy: Set<DaemonId> }): Promise<void> {
    const { self, membership, hash } = this.#options
    const ranked = rankHolders(stream.key, membership.reachable.filter(({ id }) => id !== self), { hash })
    const { key, pool, origin, lifeMs } = stream
    const asked = round === 0 ? ranked.slice(0, ASKED_AT_ONCE) : ranked
    const lacksRead = round > 0 && pool !== undefined && evidence.every(({ confirmation }) => confirmation === undefined)
    const readers = new Set(lacksRead ? ranked.slice((round - 1) * READERS_ASKED, round * READERS_ASKED) : [])
    const timeoutMs = lacksRead ? READ_ANSWER_TIMEOUT_MS : ANSWER_TIMEOUT_MS
    await new Promise<void>((resolve) => {
      const ask = async (member: Member) => {
        try {
          const reply = await membership.links.call(member, FIND_METHOD, { key, pool, lifeMs, ...(readers.has(member) && { confirm: true, origin }) } satisfies VersionQuery, { timeoutMs }) as VersionReply
          evidence.push(decodeEvidence(reply, { origin }))
          answeredBy.add(member.id)
          if (reply.record) resolve()
        } catch { /* an unreachable daemon, or an earlier version that does not know the method: it adds nothing */ }
      }
      // A call to a daemon without a link may take longer than its timeout.
      const timer = setTimeout(resolve, timeoutMs)
      Promise.all(asked.map(ask)).then(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }

  async #answer (query: VersionQuery): Promise<VersionEvidence> {
    if (!this.#recordOf(query)) await Promise.race([this.#options.archive?.restored, delay(RESTORE_WAIT_MS)])
    const evidence = this.#evidenceOf(query)
    if (evidence.record || query.pool === undefined || query.confirm !== true) return evidence
    const confirmation = await this.#options.history.confirm(query.pool, { timeoutMs: ASKED_READ_MS, origin: query.origin })
    return { ...this.#evidenceOf(query), confirmation }
  }

  #evidenceOf ({ key, pool, lifeMs }: VersionQuery): VersionEvidence {
    const record = this.#recordOf({ key })
    return {
      record: record && { streamVersion: record.streamVersion, daemon: record.daemon },
      versions: pool === undefined ? [] : this.#versions.seen(pool, steadyNow() - lifeMs),
      registryAgeMs: this.#options.registryAgeMs()
    }
  }

  /** A delegate may see a version that this daemon does not. */
  #isOnlyVersion ({ pool, version }: StreamVersion, { lifeMs, origin }: Pick<OwnRecord, 'lifeMs' | 'origin'>): boolean {
    const seen = this.#versions.seen(pool, steadyNow() - lifeMs)
    return this.#options.history.isCertain(pool, origin) && seen.length === 1 && seen[0] === version
  }

  /** Sends own records of pools whose only version is not certain any more. */
  #sendUncertain (): void {
    const records: KeyedRecord[] = []
    for (const [key, record] of this.#own.entries(steadyNow())) {
      if (record.isSent || this.#isOnlyVersion(record.streamVersion, record)) continue
      record.isSent = true
      records.push([key, record])
    }
    if (records.length > 0) this.#send(records)
  }
}
