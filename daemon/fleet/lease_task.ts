/** Takes and renews one lease through the store. */
import { randomUUID } from 'node:crypto'
import type { DaemonId } from '../../core/ids/index.ts'
import { fencingNow, nextLeaseAction, NO_LEASE, seen, type LeaseRecord, type LeaseState } from '../../core/lease/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { StoreError, writeSurely, type Marked, type ObjectStore } from '../../store/index.ts'
import { logOf } from '../log.ts'

/** Options of {@linkcode LeaseTask}. */
export interface LeaseTaskOptions {
  self: DaemonId
  store: ObjectStore
  /** Name of the work that the lease is for. */
  name: string
  /** Milliseconds that the holder may work after a renewal. Default 15,000. */
  ttlMs?: number
}

const DEFAULT_TTL_MS = 15_000
const RETRY_MS = 1000
const LONGEST_WAIT_MS = 5000
const log = logOf('lease')

/** One lease. */
export class LeaseTask {
  readonly #options: LeaseTaskOptions
  readonly #key: string
  #state: LeaseState = NO_LEASE
  #stopped = false

  constructor (options: LeaseTaskOptions) {
    this.#options = options
    this.#key = `lease/${options.name}`
  }

  /** The fencing number for an order given now; undefined while another daemon holds the lease. */
  get fencing (): number | undefined {
    return fencingNow(this.#state, this.#options.self, steadyNow())
  }

  /** Begins to take and renew the lease. */
  start (): void {
    this.#follow()
  }

  /** Stops; the lease runs out by itself. */
  stop (): void {
    this.#stopped = true
  }

  async #follow (): Promise<void> {
    await this.#orRetry(() => this.#read())
    while (!this.#stopped) {
      const writeId = randomUUID()
      const action = nextLeaseAction(this.#state, { self: this.#options.self, now: steadyNow(), ttlMs: this.#options.ttlMs ?? DEFAULT_TTL_MS, writeId })
      if (action.type === 'write') await this.#orRetry(() => this.#write(action.record, action.version))
      else await this.#waitAndRead(action.ms)
    }
  }

  /** The holder knows its own record; the others look at it now and then, to see whether it stands still. */
  async #waitAndRead (ms: number): Promise<void> {
    await delay(Math.min(ms, LONGEST_WAIT_MS))
    const mine = this.#state.record?.holder === this.#options.self
    if (!mine && !this.#stopped) await this.#orRetry(() => this.#read())
  }

  async #read (): Promise<void> {
    const found = await this.#options.store.get(this.#key)
    const record = found && (JSON.parse(found.value) as Marked<LeaseRecord>).data
    this.#learn(found && record ? { record, version: found.version } : undefined)
  }

  async #write (record: LeaseRecord, version: number): Promise<void> {
    const result = await writeSurely(this.#options.store, this.#key, { writeId: record.renewal, data: record, version })
    if (result.applied) this.#learn({ record, version: result.version })
    else this.#learn(result.found && result.data ? { record: result.data, version: result.found.version } : undefined)
  }

  #learn (found: { record: LeaseRecord, version: number } | undefined): void {
    const before = this.#state.record?.fencing
    this.#state = seen(this.#state, found, steadyNow())
    const { record } = this.#state
    if (record && record.fencing !== before) log('held', { name: this.#options.name, holder: record.holder, fencing: record.fencing })
  }

  /** After an unsure renewal the record is read again before anything is believed. */
  async #orRetry (act: () => Promise<void>): Promise<void> {
    try {
      await act()
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      await delay(RETRY_MS)
      await this.#read().catch((again) => { if (!(again instanceof StoreError)) throw again })
    }
  }
}
