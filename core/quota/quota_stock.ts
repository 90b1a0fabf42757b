/** Quota that a daemon far from its keeper draws ahead, so that not each request waits for a round trip. */
import type { AccountId } from '../ids/index.ts'

/** Options of {@linkcode QuotaStock}. */
export interface QuotaStockOptions {
  /** How long drawn quota may be used, in milliseconds, from when it was asked for. Also the span whose use is drawn ahead. */
  lifetimeMs: number
}

/** Amount of an account's quota, in requests or tokens. */
export type StockedQuota = readonly [account: AccountId, amount: number]

interface Draw { amount: number, untilMs: number }
interface AccountStock { draws: Draw[], recentUse: number, atMs: number, isDrawing: boolean }

/** Stock below this fraction of the recent use is drawn again. */
const REFILL_FRACTION = 0.5

/**
 * Stock of quota by account.
 *
 * The keeper counts what is drawn as granted. All daemons together may run in a window what the keeper granted in it and in one lifetime before: the excess is
 * at most the quota's rate times the lifetime, however many daemons draw. A daemon that is cut off, paused or killed loses its stock, at most what it used in a
 * lifetime.
 */
export class QuotaStock {
  readonly #options: QuotaStockOptions
  readonly #accounts = new Map<AccountId, AccountStock>()

  constructor (options: QuotaStockOptions) {
    this.#options = options
  }

  /** Charges a cost to the stock; false if it does not suffice. */
  take (account: AccountId, cost: number, now: number): boolean {
    const stock = this.#refresh(account, now)
    stock.recentUse += cost
    const valid = stock.draws.filter(({ untilMs }) => untilMs > now)
    if (valid.reduce((sum, { amount }) => sum + amount, 0) < cost) return false
    let rest = cost
    for (const draw of valid) {
      const taken = Math.min(rest, draw.amount)
      draw.amount -= taken
      rest -= taken
    }
    return true
  }

  /** Starts a draw: returns the amount to ask for, 0 if the stock suffices or a draw is under way. {@linkcode QuotaStock.endDraw} has to follow. */
  startDraw (account: AccountId, now: number): number {
    const stock = this.#refresh(account, now)
    const left = stock.draws.reduce((sum, { amount, untilMs }) => sum + (untilMs > now ? amount : 0), 0)
    if (stock.isDrawing || left > stock.recentUse * REFILL_FRACTION) return 0
    stock.isDrawing = true
    return Math.max(0, Math.ceil(stock.recentUse - left))
  }

  /**
   * Ends a draw with what the keeper granted, 0 if it granted nothing or did not answer.
   * @param askedAtMs Time at which the keeper was asked, in milliseconds on the steady clock.
   */
  endDraw (account: AccountId, amount: number, askedAtMs: number): void {
    const stock = this.#refresh(account, askedAtMs)
    stock.isDrawing = false
    if (amount > 0) stock.draws.push({ amount, untilMs: askedAtMs + this.#options.lifetimeMs })
  }

  /** Removes what may not be used any more and returns it, to be given back to the keeper. */
  removeExpired (now: number): StockedQuota[] {
    return this.#remove(({ untilMs }) => untilMs <= now)
  }

  /** Removes everything and returns it. */
  clear (): StockedQuota[] {
    const removed = this.#remove(() => true)
    this.#accounts.clear()
    return removed
  }

  #remove (isRemoved: (draw: Draw) => boolean): StockedQuota[] {
    return [...this.#accounts].flatMap(([account, stock]) => {
      const amount = stock.draws.filter(isRemoved).reduce((sum, draw) => sum + draw.amount, 0)
      stock.draws = stock.draws.filter((draw) => !isRemoved(draw))
      return amount > 0 ? [[account, amount] as const] : []
    })
  }

  #refresh (account: AccountId, now: number): AccountStock {
    let stock = this.#accounts.get(account)
    if (!stock) this.#accounts.set(account, stock = { draws: [], recentUse: 0, atMs: now, isDrawing: false })
    stock.recentUse *= Math.exp(-Math.max(0, now - stock.atMs) / this.#options.lifetimeMs)
    stock.atMs = Math.max(stock.atMs, now)
    return stock
  }
}
