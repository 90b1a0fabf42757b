/** Admission of streams: finds out where a stream that a caller resumes began. */
import type { Account, PoolShare, Route } from '../../core/catalog/index.ts'
import { as, type AccountId, type DaemonId, type RequestId, type StreamKey } from '../../core/ids/index.ts'
import { fingerprintOf, type Hash64 } from '../../core/quarantine/index.ts'
import type { RequestOrigin, UnknownCause, VersionEvidence, VersionVerdict, StreamVersion } from '../../core/streams/index.ts'
import type { ProxiedRequest } from '../../endpoints/index.ts'
import { logRequest } from '../log/index.ts'
import type { StreamVersions } from '../streams/index.ts'
import { Refusal } from './refusal.ts'

/** Options of {@linkcode StreamAdmission}. */
export interface StreamAdmissionOptions {
  versions: Pick<StreamVersions, 'began' | 'find' | 'resumed'>
  hash64: Hash64
}

/** The stream that a request belongs to. */
export interface AdmittedStream {
  key: StreamKey
  /** Where it began; undefined while its caller has no event of it. */
  boundTo: StreamVersion | undefined
  /** The daemon that passes it on, or did, if its caller resumes it and that daemon is known. */
  daemon: DaemonId | undefined
  /** Longest time for which the stream may live from now on, in milliseconds. */
  lifeMs: number
  /** True if several pools serve the stream's requests. */
  isSplit: boolean
  /** Where its requests come in. */
  origin: RequestOrigin
}

/** `Retry-After` for streams of which neither other daemons nor the store could be asked where they began, in milliseconds. */
const RETRY_AFTER_UNREACHABLE_MS = 500
/** Bounds of the time for which a stream is taken to live, in milliseconds: a caller may wait longer over all of its tries than one of them tells. */
const MIN_STREAM_LIFE_MS = 30_000
const MAX_STREAM_LIFE_MS = 600_000
/** Time for which a stream is taken to live, in deadlines of a request. */
const STREAM_LIFE_DEADLINES = 2
/** Length up to which a path is sent to other daemons: longer than any route's prefix. */
const MAX_PATH_LENGTH = 1024
/** Part of a stream's key for callers without an account. */
const NO_ACCOUNT = as<AccountId>('')

/** Tells which stream a request belongs to. */
export class StreamAdmission {
  readonly #options: StreamAdmissionOptions

  constructor (options: StreamAdmissionOptions) {
    this.#options = options
  }

  /**
   * Returns the stream that a request belongs to; undefined for a plain call.
   * @throws {Refusal} If the stream cannot continue, or it cannot be found out where it began. What is not known is not guessed.
   */
  async admit (req: Pick<ProxiedRequest, 'id' | 'target' | 'streamId' | 'resumeFrom' | 'deadlineInMs'>, { route, account }: { route: Route, account: Account | undefined }): Promise<AdmittedStream | undefined> {
    const { cls, pools } = route
    if (!cls.streaming) return undefined
    const lifeMs = Math.min(MAX_STREAM_LIFE_MS, Math.max(MIN_STREAM_LIFE_MS, STREAM_LIFE_DEADLINES * Math.max(cls.latency.deadlineMs, req.deadlineInMs ?? 0)))
    const isSplit = pools.length > 1
    const origin = { host: route.host.toLowerCase(), path: req.target.split('?', 1)[0]!.slice(0, MAX_PATH_LENGTH) }
    const ownKey = this.#keyOf(req.id, account)
    if (req.resumeFrom === 0) return { key: ownKey, boundTo: undefined, daemon: undefined, lifeMs, isSplit, origin }
    const key = req.streamId === undefined ? undefined : this.#keyOf(req.streamId, account)
    const { verdict, cause, answered, evidence, waitedMs } = await this.#options.versions.find({ key, pool: isSplit ? undefined : pools[0]?.pool, origin, lifeMs })
    const boundTo = 'streamVersion' in verdict ? verdict.streamVersion : undefined
    const daemon = verdict.type === 'recorded' ? verdict.daemon : undefined
    logRequest(req.id, 'stream-version', { stream: req.streamId, result: verdict.type, cause, pool: boundTo?.pool, version: boundTo?.version, daemon, answered, beliefs: evidence.map(describe), waitedMs: Math.round(waitedMs) })
    const problem = boundTo ? problemOf(boundTo, pools) : problemOfVerdict(verdict, cause)
    if (problem) throw new Refusal(problem.why, { status: 503, ...problem, cls: cls.name, ...(account && { account: account.id }) })
    return { key: key ?? ownKey, boundTo, daemon, lifeMs, isSplit, origin }
  }

  /** Records that the first event of a stream is passed on from here. */
  began ({ key, lifeMs, isSplit, origin }: AdmittedStream, boundTo: StreamVersion): void {
    this.#options.versions.began(key, boundTo, { lifeMs, isSplit, origin })
  }

  /** Ends the run of a stream at the daemon that passed it on: the request that resumes it after `from` events has its first attempt. */
  resumed ({ key, daemon }: AdmittedStream, from: number): void {
    if (daemon !== undefined) this.#options.versions.resumed(key, { daemon, from })
  }

  /** The account is part of the key, so that an account learns nothing about the streams of another. */
  #keyOf (id: RequestId, account: Account | undefined): StreamKey {
    return as<StreamKey>(fingerprintOf([account?.id ?? NO_ACCOUNT, id], this.#options.hash64))
  }
}

/** Why a stream is refused, and when its caller should come back; without a time, that is of no use. */
interface Problem { why: string, retryAfterMs?: number }

/** Describes in a log line what one daemon knew, how old its list of endpoints was, and what it read from the store. */
function describe ({ record, versions, confirmation, registryAgeMs }: VersionEvidence): object {
  return { recorded: record !== undefined, versions: versions.map((version) => version ?? null), confirmed: confirmation && (confirmation.isOnly ? [confirmation.version ?? null] : 'several'), registryAgeMs: registryAgeMs === undefined ? undefined : Math.round(registryAgeMs) }
}

function problemOf (boundTo: StreamVersion, pools: readonly PoolShare[]): Problem | undefined {
  return pools.some(({ pool }) => pool === boundTo.pool) ? undefined : { why: `the stream began at ${boundTo.pool}, which does not serve its route any more` }
}

function problemOfVerdict ({ type }: VersionVerdict, cause: UnknownCause | undefined): Problem {
  if (cause === 'store-not-read') return { why: 'the store could not be read for the version at which the stream began', retryAfterMs: RETRY_AFTER_UNREACHABLE_MS }
  return type === 'unreachable'
    ? { why: 'too few daemons answered at which version the stream began, and the store did not', retryAfterMs: RETRY_AFTER_UNREACHABLE_MS }
    : { why: 'it is not known at which version the stream began' }
}
