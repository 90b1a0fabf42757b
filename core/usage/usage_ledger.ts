/** Counts of started requests over all daemons, by time window and client account. */
import type { AccountId } from '../ids/index.ts'
import type { Tally } from '../tally/index.ts'

/** Number of requests of each account that started in one window. */
export interface WindowCounts {
  /** Index of the window since the epoch. */
  window: number
  counts: Record<AccountId, number>
}

/** Returns true for a list of counts of windows. */
export function isWindowCountsList (value: unknown): value is WindowCounts[] {
  return Array.isArray(value) && value.every((each: Partial<WindowCounts> | null) => Number.isSafeInteger(each?.window) && typeof each?.counts === 'object' && each.counts !== null && Object.values(each.counts).every(Number.isFinite))
}

const PREFIX = 'began/'
const SEPARATOR = '/'

/** Counts requests in a {@linkcode Tally}, so that the counts outlive the daemon that recorded them. */
export class UsageLedger {
  readonly #tally: Tally
  readonly #windowMs: number

  /** @param options.windowMs Length of a window in milliseconds. */
  constructor (tally: Tally, options: { windowMs: number }) {
    this.#tally = tally
    this.#windowMs = options.windowMs
  }

  /** Records the start of a request, at a time of day in milliseconds since the epoch. */
  recordStart (account: AccountId, wallMs: number): void {
    this.#tally.add(formatKey(Math.floor(wallMs / this.#windowMs), account), 1)
  }

  /** Returns the counts of the windows `from` to `to`, inclusive. */
  counts (from: number, to: number): WindowCounts[] {
    const sums = new Map<number, Record<AccountId, number>>()
    for (let window = from; window <= to; window++) sums.set(window, {})
    for (const key of this.#tally.keys(PREFIX)) {
      const { window, account } = parseKey(key)
      const counts = sums.get(window)
      if (counts) counts[account] = this.#tally.sum(key)
    }
    return [...sums].map(([window, counts]) => ({ window, counts }))
  }

  /** Removes the counts of all windows before `window`. */
  forgetBefore (window: number): void {
    this.#tally.forget((key) => key.startsWith(PREFIX) && parseKey(key).window < window)
  }
}

function formatKey (window: number, account: AccountId): string {
  return `${PREFIX}${window}${SEPARATOR}${account}`
}

function parseKey (key: string): { window: number, account: AccountId } {
  const text = key.slice(PREFIX.length)
  const at = text.indexOf(SEPARATOR)
  return { window: Number(text.slice(0, at)), account: text.slice(at + 1) as AccountId }
}
