/** Takes and renews one lease through the store. */
import { randomUUID } from 'node:crypto'
import type { DaemonId } from '../../core/ids/index.ts'
import { fencingNow, nextLeaseAction, NO_LEASE, released, seen, sending, type LeaseRecord, type LeaseState } from '../../core/lease/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { StoreError, writeSurely, type Marked, type ObjectStore } from '../../store/index.ts'
import { log } from '../log/index.ts'

/** What the holder tells the others that contend, each time that it has written. */
export interface LeaseAnnouncement { name: string, record: LeaseRecord, version: number }

/** How the daemons that contend for a lease hear of each other. */
export interface LeasePeers {
  /** Tells the others. */
  announce (announcement: LeaseAnnouncement): void
  /** Registers who hears the others' words. */
  onAnnouncement (listener: (word: LeaseAnnouncement) => void): void
}

/** Options of {@linkcode LeaseTask}. */
export interface LeaseTaskOptions {
  self: DaemonId
  store: ObjectStore
  /** Name of the work that the lease is for. */
  name: string
  /** Milliseconds that the holder may work after a renewal. Default 15,000. */
  ttlMs?: number
  /** Longest time between two looks at another daemon's lease, in milliseconds. Default 5,000. */
  lookEveryMs?: number
  /** False for a daemon that leaves the lease to others unless it holds it: each that contends reads it. Default: always true. */
  contends? (): boolean
  /** Spares those that wait for the lease most of their looks at it. Default: each looks for itself. */
  peers?: LeasePeers
  /** Time before a call that failed is tried again, in milliseconds. Default 1,000. */
  retryMs?: number
  /** Whoever takes orders refuses those with a lower fencing number than it has seen. Default false. */
  fenced?: boolean
  /** A daemon that was followed by another holder does not act again within this time of its last act, in milliseconds. Default 0. */
  apartMs?: number
}

const DEFAULT_TTL_MS = 15_000
const DEFAULT_LOOK_MS = 5000
const DEFAULT_RETRY_MS = 1000
/** The time of day and the steady clock part by less than this in a few seconds, in milliseconds; more means that the host was suspended. */
const LARGEST_DRIFT_MS = 300
/**
 * Part of the time to live for which the holder's word stands in place of a look: a renewal, and the word of it, is due after a third.
 *
 * Without it two daemons that wait for one lease look at it four times a second, a fifth of all calls that 19 daemons made to the store (80 of 433, counted in 20 s).
 * Words that fail to come lead to a look, so that a successor is as early as before.
 */
const WORD_PART = 1 / 2
/** How long a holder goes on that should be none any more, in milliseconds: what daemons know of each other changes for moments. */
const STAND_BACK_MS = 2000

/**
 * How long the last holder goes on while the store does not answer it, in milliseconds.
 *
 * Nobody can take the lease over in the store's outage, so that without the last holder nothing is ordered for as long as it lasts, and a wave of
 * reclaims in that time leaves no endpoint. Where only this daemon is turned away, its successor's higher number makes its orders refused.
 */
const OUTAGE_KEPT_MS = 20_000

/** One lease. */
export class LeaseTask {
  readonly #options: LeaseTaskOptions
  readonly #key: string
  #state: LeaseState = NO_LEASE
  #driftMs = 0
  /** When this daemon could last act. */
  #actedAtMs = -Infinity
  /** No act before this time, after another held the lease. */
  #notBeforeMs = -Infinity
  #raise = false
  #fresh = false
  #contendedAtMs = -Infinity
  /** When the holder last told of a renewal. */
  #toldAtMs = -Infinity
  #wake: () => void = () => {}
  #stopped = false
  /** The store has not answered since. */
  #unansweredSinceMs: number | undefined
  /** Called when this daemon becomes the holder, with its fencing number, and when it is the holder no more. */
  onChange: (fencing: number | undefined) => void = () => {}

  constructor (options: LeaseTaskOptions) {
    this.#options = options
    this.#key = `lease/${options.name}`
    options.peers?.onAnnouncement((word) => this.#told(word))
  }

  /**
   * The fencing number for an order given now; undefined while another daemon holds the lease.
   *
   * A host that was suspended wakes with a steady clock that did not count the time: its lease looks fresh while a successor acts. The time of
   * day did count, so a lease is not trusted once the two clocks have parted.
   *
   * A lease that is handed to and fro would have two daemons act by turns, each on what it saw before the other acted: whoever gets it back waits.
   */
  get fencing (): number | undefined {
    const now = steadyNow()
    if (Math.abs(drift() - this.#driftMs) > LARGEST_DRIFT_MS || now < this.#notBeforeMs) return undefined
    const fencing = fencingNow(this.#state, this.#options.self, now)
    if (fencing !== undefined) this.#actedAtMs = now
    return fencing
  }

  /**
   * The fencing number for an order that cannot wait until the store answers again; undefined when the lease was lost in any other way.
   *
   * Only for orders that are harmless when repeated, and refused where a successor gave others.
   */
  get fencingInOutage (): number | undefined {
    const { record, seenAtMs } = this.#state
    if (this.#options.fenced !== true || this.#unansweredSinceMs === undefined || this.#stopped || !record || !this.#holds) return undefined
    if (Math.abs(drift() - this.#driftMs) > LARGEST_DRIFT_MS) return undefined
    const heldTillMs = seenAtMs + record.ttlMs
    return this.#unansweredSinceMs <= heldTillMs && steadyNow() < heldTillMs + OUTAGE_KEPT_MS ? record.fencing : undefined
  }

  /** A successor was seen to act: the outage is this daemon's alone. */
  giveUpOutage (): void {
    this.#unansweredSinceMs = undefined
  }

  /** Begins to take and renew the lease. */
  start (): void {
    this.#follow()
  }

  /** Stops; the lease runs out by itself. */
  stop (): void {
    this.#stopped = true
    this.#wake()
  }

  /** Stops and gives the lease up, so that a successor need not wait until it runs out. */
  async release (): Promise<void> {
    const { record, version } = this.#state
    const held = this.fencing !== undefined
    this.stop()
    if (!held || !record) return
    try {
      await this.#write(released(record, randomUUID()), version)
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      log('lease-call-failed', { name: this.#options.name, why: err.message })
    }
  }

  /** Takes a higher fencing number, so that orders under way that were given with the present one are refused. */
  raise (): void {
    this.#raise = true
    this.#wake()
  }

  async #follow (): Promise<void> {
    while (!this.#stopped) {
      const { self } = this.#options
      if (!this.#contends()) {
        await this.#standBack()
        continue
      }
      // What was read before it contended, or never, is too old to act on.
      if (!this.#fresh) await this.#orRetry(() => this.#read())
      this.#fresh = true
      const ttlMs = this.#options.ttlMs ?? DEFAULT_TTL_MS
      const action = nextLeaseAction(this.#state, { self, now: steadyNow(), ttlMs, writeId: randomUUID(), raise: this.#raise })
      if (action.type === 'write') await this.#orRetry(() => this.#write(action.record, action.version))
      else await this.#waitAndRead(action.ms)
    }
  }

  #contends (): boolean {
    const contends = this.#options.contends?.() ?? true
    if (contends) this.#contendedAtMs = steadyNow()
    return contends || (this.#holds && steadyNow() - this.#contendedAtMs < STAND_BACK_MS)
  }

  get #holds (): boolean {
    return this.#state.record?.holder === this.#options.self
  }

  /** A holder that should be none any more, because other daemons know more of the work, hands the lease on. */
  async #standBack (): Promise<void> {
    const { record, version } = this.#state
    if (this.fencing !== undefined && record) await this.#orRetry(() => this.#write(released(record, randomUUID()), version))
    this.#fresh = false
    await delay(this.#options.lookEveryMs ?? DEFAULT_LOOK_MS)
  }

  /** The holder knows its own record; the others look at it now and then, to see whether it stands still. */
  async #waitAndRead (ms: number): Promise<void> {
    const woken = new Promise<void>((resolve) => { this.#wake = resolve })
    await Promise.race([delay(Math.min(ms, this.#options.lookEveryMs ?? DEFAULT_LOOK_MS)), woken])
    if (!this.#holds && !this.#stopped && !this.#wasTold) await this.#orRetry(() => this.#read())
  }

  get #wasTold (): boolean {
    return steadyNow() - this.#toldAtMs < (this.#options.ttlMs ?? DEFAULT_TTL_MS) * WORD_PART
  }

  /** A word may come late; only one of a later version than this daemon has seen tells anything. */
  #told ({ name, record, version }: LeaseAnnouncement): void {
    if (name !== this.#options.name || version <= this.#state.version || this.#stopped || !this.#fresh) return
    this.#toldAtMs = steadyNow()
    this.#learn({ record, version })
    // Given up: there is nothing to wait for.
    if (record.ttlMs === 0) this.#wake()
  }

  async #read (): Promise<void> {
    const found = await this.#options.store.get(this.#key)
    const record = found && (JSON.parse(found.value) as Marked<LeaseRecord>).data
    this.#learn(found && record ? { record, version: found.version } : undefined)
  }

  async #write (record: LeaseRecord, version: number): Promise<void> {
    this.#state = sending(this.#state, record, steadyNow())
    const driftMs = drift()
    const result = await writeSurely(this.#options.store, this.#key, { writeId: record.renewal, data: record, version })
    if (!result.applied) return this.#learn(result.found && result.data ? { record: result.data, version: result.found.version } : undefined)
    if (record.fencing !== this.#state.record?.fencing) this.#raise = false
    this.#driftMs = driftMs
    this.#learn({ record, version: result.version })
    this.#options.peers?.announce({ name: this.#options.name, record, version: result.version })
  }

  #learn (found: { record: LeaseRecord, version: number } | undefined): void {
    const { self } = this.#options
    const before = this.#state.record
    this.#state = seen(this.#state, found, { self, now: steadyNow() })
    const { record } = this.#state
    if (!record || record.fencing === before?.fencing) return
    if (record.holder === self && before && before.holder !== self) this.#notBeforeMs = this.#actedAtMs + (this.#options.apartMs ?? 0)
    log('lease-changed', { name: this.#options.name, holder: record.holder, fencing: record.fencing })
    if (record.holder === self) this.onChange(record.fencing)
    else if (before?.holder === self) this.onChange(undefined)
  }

  /** After an unsure renewal the record is read again before anything is believed. */
  async #orRetry (act: () => Promise<void>): Promise<void> {
    try {
      await act()
      this.#unansweredSinceMs = undefined
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      this.#unansweredSinceMs ??= steadyNow()
      log('lease-call-failed', { name: this.#options.name, why: err.message })
      await delay(this.#options.retryMs ?? DEFAULT_RETRY_MS)
      await this.#read().catch((again) => { if (!(again instanceof StoreError)) throw again })
    }
  }
}

/** How far the time of day is ahead of the steady clock. */
function drift (): number {
  return Date.now() - steadyNow()
}
