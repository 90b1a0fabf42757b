/** Quota that a daemon far from its keeper draws ahead, so that not each request waits for a round trip. */
import type { AccountId } from '../ids/index.ts'

/** Options of {@linkcode QuotaStock}. */
export interface QuotaStockOptions {
  /** How long drawn quota may be used, in milliseconds, from when it was asked for. Also the span whose use is drawn ahead. */
  lifetimeMs: number
}

interface Draw { amount: number, untilMs: number }
interface AccountStock { draws: Draw[], recentUse: number, atMs: number, isDrawing: boolean }

/** Stock below this fraction of the recent use is drawn again. */
const REFILL_FRACTION = 0.5
/** Number of lifetimes after which an account without requests is forgotten; of its use, less than a thousandth is left then. */
const IDLE_LIFETIMES = 7

/**
 * Stock of quota by account.
 *
 * The keeper counts what is drawn as granted. All daemons together may run in a window what the keeper granted in it and in one lifetime before: the excess is
 * at most the quota's rate times the lifetime, however many daemons draw. What a daemon does not use is lost, at most what it used in a lifetime.
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
    const valid = stock.draws.filter(({ untilMs }) => untilMs > now)
    if (valid.reduce((sum, { amount }) => sum + amount, 0) < cost) return false
    let rest = cost
    for (const draw of valid) {
      const taken = Math.min(rest, draw.amount)
      draw.amount -= taken
      rest -= taken
    }
    stock.recentUse += cost
    return true
  }

  /** Counts a cost that the keeper granted for a request; what is granted is drawn ahead for the next ones. */
  countGrant (account: AccountId, cost: number, now: number): void {
    this.#refresh(account, now).recentUse += cost
  }

  /**
   * Starts a draw: returns the amount to ask for, 0 if the stock suffices or a draw is under way. {@linkcode QuotaStock.endDraw} has to follow if it is above 0.
   * @param asked Cost that is asked for beside it, which counts as used.
   */
  startDraw (account: AccountId, asked: number, now: number): number {
    const stock = this.#refresh(account, now)
    const use = stock.recentUse + asked
    const left = stock.draws.reduce((sum, { amount, untilMs }) => sum + (untilMs > now ? amount : 0), 0)
    const amount = Math.ceil(use - left)
    if (stock.isDrawing || left > use * REFILL_FRACTION || !(amount > 0)) return 0
    stock.isDrawing = true
    return amount
  }

  /**
   * Ends a draw with what the keeper granted, 0 if it granted nothing or did not answer.
   * @param askedAtMs Time at which the keeper was asked, in milliseconds on the steady clock.
   */
  endDraw (account: AccountId, amount: number, askedAtMs: number): void {
    const stock = this.#accounts.get(account)
    if (!stock?.isDrawing) return
    stock.isDrawing = false
    if (amount > 0) stock.draws.push({ amount, untilMs: askedAtMs + this.#options.lifetimeMs })
  }

  /** Removes what may not be used any more, and idle accounts. It is lost: given back, it would let the keeper grant above a window's limit what it granted in an earlier one. */
  removeExpired (now: number): void {
    for (const [account, stock] of this.#accounts) {
      stock.draws = stock.draws.filter(({ untilMs }) => untilMs > now)
      if (stock.draws.length === 0 && !stock.isDrawing && now - stock.atMs > IDLE_LIFETIMES * this.#options.lifetimeMs) this.#accounts.delete(account)
    }
  }

  /** Removes what was drawn for an account, and its use. A draw that is under way adds nothing. */
  remove (account: AccountId): void {
    this.#accounts.delete(account)
  }

  /** Removes everything; it is lost, as what expires is. */
  clear (): void {
    this.#accounts.clear()
  }

  #refresh (account: AccountId, now: number): AccountStock {
    let stock = this.#accounts.get(account)
    if (!stock) this.#accounts.set(account, stock = { draws: [], recentUse: 0, atMs: now, isDrawing: false })
    stock.recentUse *= Math.exp(-Math.max(0, now - stock.atMs) / this.#options.lifetimeMs)
    stock.atMs = Math.max(stock.atMs, now)
    return stock
  }
}
