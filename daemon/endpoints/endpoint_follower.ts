/** Keeps the endpoint table up to date with an endpoint registry in the store. */
import type { Pool } from '../../core/catalog/index.ts'
import { problemsOf } from '../../core/config/validate.ts'
import { as, type HostId, type PoolName } from '../../core/ids/index.ts'
import { LapsedEntries, type EntryState, type LapsedEntriesOptions, type VanishedEntries } from '../../core/registry/index.ts'
import type { Random } from '../../core/routing/index.ts'
import { NO_VERSION, type StoreVersion } from '../../core/store_version/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import type { ListedHost } from '../../endpoints/index.ts'
import { StoreError, StoreFollower, type ObjectSource, type StoredObject } from '../../store/index.ts'
import { log } from '../log/index.ts'
import { guarded, reportTaskError } from '../tasks/index.ts'
import type { ListedEndpoint } from './endpoint_listing.ts'
import { ASSUMED_NOTICE_MS, type EndpointTable } from './endpoint_table.ts'

/** Options of {@linkcode EndpointFollower}. */
export interface EndpointFollowerOptions {
  store: ObjectSource
  /** Key prefix of the registry. */
  prefix: string
  decode (name: string, value: unknown): ListedEndpoint
  table: EndpointTable
  /** How often endpoints renew their entries, and how soon departures take effect. */
  times?: LapsedEntriesOptions
  /** Long-poll timeout of a store watch, in milliseconds. Default 10,000. */
  waitMs?: number
  random: Random
  pool (name: PoolName): Pool | undefined
  /** Called after each change to the endpoint table. */
  onChange (): void
  /** Called when the registry stops answering. Default: does nothing. */
  onLost? (): void
}

/** Prefill speed that is assumed until first-token times have been measured, in tokens per second: the order of magnitude of a large model on a few accelerators. */
const INITIAL_PREFILL_TOKENS_PER_S = 50_000
/** Initial speed. No platform publishes the time between tokens or what each further stream adds to it; no current latency target comes near these values. */
const INITIAL_SPEED = { prefillTokensPerS: INITIAL_PREFILL_TOKENS_PER_S, betweenTokensMs: 4, betweenTokensPerStreamMs: 0.1, exportTokensPerS: 0, importTokensPerS: 0 }
/** Added to timer delays, in milliseconds, since a timer may fire slightly early by the steady clock. */
const TIMER_MARGIN_MS = 20
/** Age of the registry's last answer up to which it shows that a held entry is not back, and longest wait for another answer, in milliseconds. */
const MAX_PROOF_AGE_MS = 200
/** Pause before a registry that did not answer is asked again, in milliseconds. */
const PROOF_RETRY_MS = 1000
/** Time to the first token beside queueing and prefill, and to a plain response, that are assumed until times have been measured, in milliseconds. */
const INITIAL_FIRST_TOKEN_MS = 50
const INITIAL_RESPONSE_MS = 20

/** An endpoint, and the version of the registry at which its entry was written. */
interface KnownEndpoint extends ListedEndpoint { entryVersion: StoreVersion }

/** Follows the registry and applies its entries to the endpoint table. */
export class EndpointFollower {
  readonly #options: EndpointFollowerOptions
  readonly #follower: StoreFollower
  /** Endpoints last applied to the table, by name; includes held ones. */
  #applied: ReadonlyMap<string, KnownEndpoint> = new Map()
  readonly #lapsedEntries: LapsedEntries
  /** Version of the registry last applied. */
  #appliedVersion = NO_VERSION
  #expiryTimer: NodeJS.Timeout | undefined
  #isStopped = false
  /** Decoded entries by key; `endpoint` is undefined for an entry that could not be decoded. */
  #decoded = new Map<string, { version: StoreVersion, endpoint: KnownEndpoint | undefined }>()

  constructor (options: EndpointFollowerOptions) {
    this.#options = options
    this.#lapsedEntries = new LapsedEntries(options.times)
    this.#follower = new StoreFollower({
      store: options.store,
      prefix: options.prefix,
      random: options.random,
      ...(options.waitMs !== undefined && { waitMs: options.waitMs }),
      onChange: (objects, news) => this.#onAnswer(objects, news.version),
      onError: (err) => reportTaskError('follow-endpoints', err),
      onReachabilityChange: (reached, why) => {
        if (reached) return log('store-back', { what: 'endpoints' })
        log('store-lost', { what: 'endpoints', why, lastAnswerAgeMs: this.#follower.listed ? steadyNow() - this.#follower.lastAnswerAtMs : undefined })
        options.onLost?.()
      }
    })
  }

  /** Since when no change of the registry can have been missed, in milliseconds on the steady clock; undefined while some may be. */
  get completeSinceMs (): number | undefined { return this.#follower.completeSinceMs }

  /** Time since the registry last answered, in milliseconds; undefined before its first answer. */
  get ageMs (): number | undefined { return this.#follower.listed ? steadyNow() - this.#follower.lastAnswerAtMs : undefined }

  /** Starts following the registry. */
  start (): void {
    this.#follower.start()
  }

  /** Stops following the registry. */
  stop (): void {
    this.#isStopped = true
    clearTimeout(this.#expiryTimer)
    this.#follower.stop()
  }

  #onAnswer (objects: ReadonlyMap<string, StoredObject>, version: StoreVersion): void {
    const listed = this.#decodeAll(objects)
    const vanished = this.#lapsedEntries.update({ entries: this.#entryStates(objects, listed), version, afterFailure: !this.#follower.reachable, now: steadyNow() })
    this.#logHeld(vanished, listed)
    this.#appliedVersion = version
    this.#apply([...listed.values(), ...this.#appliedNamed(this.#lapsedEntries.held)], vanished.gone)
    this.#scheduleExpiry()
  }

  /** Decodes each version of an entry only once; otherwise a change to one entry would cost as much as decoding the whole registry. */
  #decodeAll (objects: ReadonlyMap<string, StoredObject>): Map<string, KnownEndpoint> {
    const before = this.#decoded
    this.#decoded = new Map([...objects.values()].map((object) => {
      const known = before.get(object.key)
      return [object.key, known?.version === object.version ? known : { version: object.version, endpoint: this.#decode(object) }]
    }))
    return new Map([...this.#decoded.values()].flatMap(({ endpoint }) => (endpoint ? [[endpoint.name, endpoint] as const] : [])))
  }

  #entryStates (objects: ReadonlyMap<string, StoredObject>, listed: ReadonlyMap<string, KnownEndpoint>): Map<string, EntryState> {
    return new Map([...objects.values()].map(({ key, version }) => {
      const name = key.slice(this.#options.prefix.length)
      const endpoint = listed.get(name)
      return [name, { version, leaving: endpoint === undefined || endpoint.leaving !== undefined }]
    }))
  }

  /** Logs which endpoints are held. Without these lines, an attempt at an endpoint without an entry could not be explained. */
  #logHeld ({ held, why, restored }: VanishedEntries, listed: ReadonlyMap<string, KnownEndpoint>): void {
    const untilMs = this.#lapsedEntries.untilMs ?? steadyNow()
    if (held.length > 0) log('endpoints-held', { endpoints: this.#appliedNamed(held).map(({ id }) => id), why, forMs: Math.round(untilMs - steadyNow()) })
    if (restored.length > 0) log('endpoints-back', { endpoints: restored.flatMap((name) => listed.get(name)?.id ?? []) })
  }

  /** Applies endpoints to the table. Departures come first: an unlisted endpoint without work here is removed, and its departure would not reach the other daemons. */
  #apply (listed: readonly KnownEndpoint[], gone: readonly string[]): void {
    const { table } = this.#options
    const goneAtMs = steadyNow() + ASSUMED_NOTICE_MS
    table.departed(this.#appliedNamed(gone).map(({ id }) => as<HostId>(id)), { goneAtMs, version: this.#appliedVersion, signal: 'list' })
    this.#applied = new Map(listed.map((endpoint) => [endpoint.name, endpoint]))
    table.applyHostList(listed.map((endpoint) => this.#hostOf(endpoint)))
    for (const { id, leaving, entryVersion: version } of listed) {
      if (!leaving) continue
      const signal = leaving.inMs === undefined ? 'list' : 'notice'
      table.departed([as<HostId>(id)], { goneAtMs: steadyNow() + (leaving.inMs ?? ASSUMED_NOTICE_MS), version, signal })
    }
    this.#options.onChange()
  }

  #appliedNamed (names: readonly string[]): KnownEndpoint[] {
    return names.flatMap((name) => this.#applied.get(name) ?? [])
  }

  /** Schedules the expiry of held entries. If the registry is unreachable by then, its next answer decides instead. */
  #scheduleExpiry (earliestInMs = 0): void {
    const { untilMs } = this.#lapsedEntries
    clearTimeout(this.#expiryTimer)
    if (untilMs === undefined || this.#isStopped) return
    this.#expiryTimer = setTimeout(guarded('endpoint-follower', () => this.#expireIfAnswering()), Math.max(earliestInMs, untilMs - steadyNow()) + TIMER_MARGIN_MS)
  }

  async #expireIfAnswering (): Promise<void> {
    if (!this.#follower.reachable) return
    const isAnswering = await this.#answersNow()
    if (this.#isStopped) return
    if (isAnswering) this.#expireHeld()
    else this.#scheduleExpiry(PROOF_RETRY_MS)
  }

  /** A registry that has gone silent shows it only when a call fails, and entries may be back meanwhile. */
  async #answersNow (): Promise<boolean> {
    if (steadyNow() - this.#follower.lastAnswerAtMs <= MAX_PROOF_AGE_MS) return true
    const { store, prefix } = this.#options
    const answer = store.snapshot(prefix).then(() => true, (err: Error) => {
      if (!(err instanceof StoreError)) reportTaskError('follow-endpoints', err)
      return false
    })
    return await Promise.race([answer, delay(MAX_PROOF_AGE_MS).then(() => false)])
  }

  #expireHeld (): void {
    const overdue = this.#lapsedEntries.removeOverdue(steadyNow())
    this.#scheduleExpiry()
    if (overdue.length === 0) return
    log('endpoints-not-back', { endpoints: this.#appliedNamed(overdue).map(({ id }) => id) })
    this.#apply([...this.#applied.values()].filter(({ name }) => !overdue.includes(name)), overdue)
  }

  /**
   * Decodes an entry; undefined when that fails.
   *
   * Other programs may write to the registry, too. An entry that is malformed or makes the decoder throw is skipped, or it would hide all other entries for as long as it exists.
   */
  #decode (object: StoredObject): KnownEndpoint | undefined {
    const name = object.key.slice(this.#options.prefix.length)
    try {
      return { ...this.#options.decode(name, JSON.parse(object.value)), entryVersion: object.version }
    } catch (err) {
      log('endpoint-refused', { endpoint: name, problems: problemsOf(err) })
      return undefined
    }
  }

  #hostOf (endpoint: KnownEndpoint): ListedHost {
    const engine = this.#options.pool(endpoint.pool)?.engine
    return {
      hostId: as(endpoint.id),
      hostClass: endpoint.pool,
      failureDomain: endpoint.failureDomain,
      reclaimable: endpoint.reclaimable,
      pricePerHour: 0,
      state: endpoint.leaving ? 'leaving' : 'live',
      version: endpoint.entryVersion,
      endpoint: {
        id: endpoint.id,
        name: endpoint.name,
        startedAtMs: endpoint.startedAtMs,
        pool: endpoint.pool,
        ...(endpoint.version !== undefined && { version: endpoint.version }),
        address: endpoint.address,
        speed: { ...INITIAL_SPEED, batchSlots: engine?.batchSlots ?? endpoint.batchSlots },
        firstMs: engine ? INITIAL_FIRST_TOKEN_MS : INITIAL_RESPONSE_MS,
        // For every pool: when a daemon starts, it may not know yet which pools are model engines.
        learnsPace: true
      }
    }
  }
}
