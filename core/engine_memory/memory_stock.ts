/** What one daemon may send to endpoints whose memory is bounded: the grants that it has, and its part of the memory that needs no grant. */
import type { EndpointId } from '../ids/index.ts'
import type { Random } from '../routing/index.ts'
import { OPEN_SHARE, openAllowance, PERIOD_IN_VISIBLE_TIMES } from './open_allowance.ts'

/** A number of tokens at an endpoint. */
export type EndpointTokens = readonly [endpoint: EndpointId, tokens: number]

/** State of an endpoint's memory at the time of a request. */
export interface MemoryState {
  /** Usable memory of the endpoint. */
  capacityTokens: number
  /** Tokens held by all daemons as far as known, unused grants of this one excluded. */
  heldTokens: number
  /** Mean number of tokens that a request holds. */
  meanTokens: number
  /** Number of daemons that may send to the endpoint. */
  daemons: number
  now: number
}

interface EndpointStock {
  unusedTokens: number
  grantedAtMs: number
  /** Times of the requests sent without a grant, in milliseconds. */
  sentAtMs: number[]
  /** How the allowance is rounded, and until when: for long enough that prompts that share a prefix go to the same endpoints meanwhile. */
  rounding: { part: number, untilMs: number }
}

/** Time after which an unused grant is returned, in milliseconds: its request went elsewhere or has ended. */
const GRANT_UNUSED_MS = 50

/** Keeps a daemon's grants, and the requests that it sent without one. Times are in milliseconds on the daemon's clock. */
export class MemoryStock {
  readonly #random: Random
  readonly #stocks = new Map<EndpointId, EndpointStock>()
  #snapshotAtMs: number | undefined
  #visibleAfterMs = 0

  constructor ({ random }: { random: Random }) {
    this.#random = random
  }

  /**
   * Records that the load of all daemons arrived.
   * @param visibleAfterMs Time after which a request that a daemon sends is known to all others.
   */
  snapshot (visibleAfterMs: number, now: number): void {
    this.#snapshotAtMs = now
    this.#visibleAfterMs = visibleAfterMs
  }

  /** Tokens granted to this daemon at an endpoint and not used. */
  unused (endpoint: EndpointId): number { return this.#stocks.get(endpoint)?.unusedTokens ?? 0 }

  /** All grants that are not used. */
  get allUnused (): EndpointTokens[] {
    return [...this.#stocks].filter(([, { unusedTokens }]) => unusedTokens > 0).map(([endpoint, { unusedTokens }]) => [endpoint, unusedTokens])
  }

  /** Returns whether a request may be sent now. */
  mayTake (endpoint: EndpointId, tokens: number, state: MemoryState): boolean {
    const unused = this.unused(endpoint)
    if (unused >= tokens) return true
    const freeTokens = state.capacityTokens - state.heldTokens - unused
    if (tokens > freeTokens || freeTokens < state.capacityTokens * (1 - OPEN_SHARE)) return false
    if (this.#snapshotAtMs === undefined) return false
    const { now } = state
    const stock = this.#stockOf(endpoint, now)
    if (now >= stock.rounding.untilMs) stock.rounding = { part: this.#random(), untilMs: now + this.#periodMs }
    const allowed = Math.floor(openAllowance({ ...state, freeTokens }) + stock.rounding.part)
    return sentSince(stock, Math.min(now, this.#snapshotAtMs) - this.#visibleAfterMs) < allowed
  }

  /** Records that a request was sent, whether or not it was allowed. */
  take (endpoint: EndpointId, tokens: number, now: number): void {
    const stock = this.#stockOf(endpoint, now)
    if (stock.unusedTokens >= tokens) stock.unusedTokens -= tokens
    else stock.sentAtMs.push(now)
  }

  /** Adds a grant. */
  granted (endpoint: EndpointId, tokens: number, now: number): void {
    const stock = this.#stockOf(endpoint, now)
    stock.unusedTokens += tokens
    stock.grantedAtMs = now
  }

  /** Gives up grants that were not used in time, and returns their endpoints. */
  giveUp (now: number): EndpointId[] {
    const given: EndpointId[] = []
    for (const [endpoint, stock] of this.#stocks) {
      if (stock.unusedTokens === 0 || now - stock.grantedAtMs < GRANT_UNUSED_MS) continue
      stock.unusedTokens = 0
      given.push(endpoint)
    }
    return given
  }

  /** Removes what is kept of endpoints that are no longer listed. */
  keepOnly (isListed: (endpoint: EndpointId) => boolean): void {
    for (const endpoint of this.#stocks.keys()) if (!isListed(endpoint)) this.#stocks.delete(endpoint)
  }

  #stockOf (endpoint: EndpointId, now: number): EndpointStock {
    let stock = this.#stocks.get(endpoint)
    if (!stock) {
      stock = { unusedTokens: 0, grantedAtMs: -Infinity, sentAtMs: [], rounding: { part: this.#random(), untilMs: now + this.#periodMs * this.#random() } }
      this.#stocks.set(endpoint, stock)
    }
    return stock
  }

  get #periodMs (): number { return this.#visibleAfterMs * PERIOD_IN_VISIBLE_TIMES }
}

/** Returns the number of requests sent without a grant after a time, and forgets those before. */
function sentSince (stock: EndpointStock, sinceMs: number): number {
  while (stock.sentAtMs.length > 0 && stock.sentAtMs[0]! <= sinceMs) stock.sentAtMs.shift()
  return stock.sentAtMs.length
}
