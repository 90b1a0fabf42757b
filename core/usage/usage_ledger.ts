/** Counts of requests that began, by window and client account, over all daemons. */
import type { AccountId } from '../ids/index.ts'
import type { Tally } from '../tally/index.ts'

/** Requests of each account that began in one window. */
export interface WindowCounts {
  /** Number of the window since the epoch. */
  window: number
  counts: Record<AccountId, number>
}

const PREFIX = 'began/'
const SEPARATOR = '/'

/** Keeps the counts in a tally, so that they outlive the daemon that counted. */
export class UsageLedger {
  readonly #tally: Tally
  readonly #windowMs: number

  /** @param options.windowMs Length of a window in milliseconds. */
  constructor (tally: Tally, options: { windowMs: number }) {
    this.#tally = tally
    this.#windowMs = options.windowMs
  }

  /** A request began at a time of day. */
  began (account: AccountId, wallMs: number): void {
    this.#tally.add(keyOf(Math.floor(wallMs / this.#windowMs), account), 1)
  }

  /** The counts of windows, the first and the last included. */
  counts (from: number, to: number): WindowCounts[] {
    const sums = new Map<number, Record<AccountId, number>>()
    for (let window = from; window <= to; window++) sums.set(window, {})
    for (const key of this.#tally.keys(PREFIX)) {
      const { window, account } = partsOf(key)
      const counts = sums.get(window)
      if (counts) counts[account] = this.#tally.sum(key)
    }
    return [...sums].map(([window, counts]) => ({ window, counts }))
  }

  /** Forgets windows that will not be asked for again. */
  forgetBefore (window: number): void {
    this.#tally.forget((key) => key.startsWith(PREFIX) && partsOf(key).window < window)
  }
}

function keyOf (window: number, account: AccountId): string {
  return `${PREFIX}${window}${SEPARATOR}${account}`
}

function partsOf (key: string): { window: number, account: AccountId } {
  const text = key.slice(PREFIX.length)
  const at = text.indexOf(SEPARATOR)
  return { window: Number(text.slice(0, at)), account: text.slice(at + 1) as AccountId }
}
