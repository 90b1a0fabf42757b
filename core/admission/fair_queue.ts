/** Queue of accepted requests that wait for an endpoint, with fair scheduling between client accounts. */
import type { AccountId } from '../ids/index.ts'

/** A queued request. */
export interface QueuedRequest<T> {
  account: AccountId
  /** Cost of the request in tokens. */
  tokens: number
  /** Latest start time, in milliseconds on the daemon's clock. */
  startByMs: number
  /** Urgent requests precede the others and may use the reserved batch slots. */
  urgent: boolean
  item: T
}

/** Queue that determines which request starts next. */
export interface RequestQueue<T> {
  readonly length: number
  /** Number of queued requests that are urgent. */
  readonly urgentLength: number
  push (entry: QueuedRequest<T>): void
  /** Returns the number of queued requests that would start before a new request of this account. */
  ahead (account: AccountId, urgent: boolean): number
  /** Returns the request to start next without removing it. */
  peek (): QueuedRequest<T> | undefined
  remove (entry: QueuedRequest<T>): void
  /** Returns a request that matches, or undefined if there is none. */
  find (matches: (entry: QueuedRequest<T>) => boolean): QueuedRequest<T> | undefined
  /**
   * Removes and returns the requests that can no longer start in time.
   * @param delayMs Time for which a request certainly cannot start. Default: 0 for each.
   */
  expire (now: number, delayMs?: (item: T) => number): QueuedRequest<T>[]
}

/** Requests of one account. The start tag is the virtual time, in tokens, at which its next request starts. */
interface AccountQueue<T> { startTag: number, entries: QueuedRequest<T>[] }

/**
 * Start-time fair queue: urgent requests go first, and among accounts the one with the lowest start tag.
 *
 * Guards against an account that sends ten times its share: in a single FIFO queue the small accounts would wait behind it. An account that was idle
 * starts at the current virtual time, so that it accumulates no credit.
 */
export class FairQueue<T> implements RequestQueue<T> {
  readonly #accountQueues = new Map<AccountId, AccountQueue<T>>()
  #virtualTime = 0
  #length = 0

  get length (): number { return this.#length }

  get urgentLength (): number {
    let count = 0
    for (const { entries } of this.#accountQueues.values()) count += entries.filter(({ urgent }) => urgent).length
    return count
  }

  push (entry: QueuedRequest<T>): void {
    const queue = this.#queueOf(entry.account)
    if (queue.entries.length === 0) queue.startTag = Math.max(queue.startTag, this.#virtualTime)
    const index = entry.urgent ? queue.entries.findIndex((other) => !other.urgent) : -1
    queue.entries.splice(index < 0 ? queue.entries.length : index, 0, entry)
    this.#length++
  }

  /** The account queues take turns, so each counts for at most the position of the new request in its own queue. */
  ahead (account: AccountId, urgent: boolean): number {
    const countBefore = (queue: AccountQueue<T>) => (urgent ? queue.entries.filter((entry) => entry.urgent).length : queue.entries.length)
    const own = this.#accountQueues.get(account)
    const position = (own ? countBefore(own) : 0) + 1
    let requestsAhead = position - 1
    for (const [other, queue] of this.#accountQueues) if (other !== account) requestsAhead += Math.min(countBefore(queue), position)
    return requestsAhead
  }

  peek (): QueuedRequest<T> | undefined {
    let best: AccountQueue<T> | undefined
    for (const queue of this.#accountQueues.values()) {
      if (queue.entries.length > 0 && (!best || precedes(queue, best))) best = queue
    }
    return best?.entries[0]
  }

  remove (entry: QueuedRequest<T>): void {
    const queue = this.#queueOf(entry.account)
    const index = queue.entries.indexOf(entry)
    if (index < 0) return
    queue.entries.splice(index, 1)
    this.#length--
    this.#virtualTime = Math.max(this.#virtualTime, queue.startTag)
    queue.startTag += entry.tokens
    this.#removeIdleQueues()
  }

  find (matches: (entry: QueuedRequest<T>) => boolean): QueuedRequest<T> | undefined {
    for (const queue of this.#accountQueues.values()) {
      const found = queue.entries.find(matches)
      if (found) return found
    }
    return undefined
  }

  expire (now: number, delayMs: (item: T) => number = () => 0): QueuedRequest<T>[] {
    const expired: QueuedRequest<T>[] = []
    const isLate = ({ startByMs, item }: QueuedRequest<T>) => startByMs <= now + delayMs(item)
    for (const queue of this.#accountQueues.values()) {
      expired.push(...queue.entries.filter(isLate))
      queue.entries = queue.entries.filter((entry) => !isLate(entry))
    }
    this.#length -= expired.length
    return expired
  }

  /** Removes empty queues whose start tag has been reached by the virtual time; they are equivalent to new ones. */
  #removeIdleQueues (): void {
    for (const [account, queue] of this.#accountQueues) {
      if (queue.entries.length === 0 && queue.startTag <= this.#virtualTime) this.#accountQueues.delete(account)
    }
  }

  #queueOf (account: AccountId): AccountQueue<T> {
    let queue = this.#accountQueues.get(account)
    if (!queue) {
      queue = { startTag: this.#virtualTime, entries: [] }
      this.#accountQueues.set(account, queue)
    }
    return queue
  }
}

function precedes<T> (a: AccountQueue<T>, b: AccountQueue<T>): boolean {
  const aUrgent = a.entries[0]!.urgent
  const bUrgent = b.entries[0]!.urgent
  return aUrgent === bUrgent ? a.startTag < b.startTag : aUrgent
}

/** First-in, first-out queue, as a baseline for {@linkcode FairQueue}. */
export class FifoQueue<T> implements RequestQueue<T> {
  #entries: QueuedRequest<T>[] = []

  get length (): number { return this.#entries.length }
  get urgentLength (): number { return this.#entries.filter(({ urgent }) => urgent).length }
  push (entry: QueuedRequest<T>): void { this.#entries.push(entry) }
  ahead (): number { return this.#entries.length }
  peek (): QueuedRequest<T> | undefined { return this.#entries[0] }
  find (matches: (entry: QueuedRequest<T>) => boolean): QueuedRequest<T> | undefined { return this.#entries.find(matches) }
  remove (entry: QueuedRequest<T>): void { this.#entries = this.#entries.filter((other) => other !== entry) }

  expire (now: number, delayMs: (item: T) => number = () => 0): QueuedRequest<T>[] {
    const isLate = ({ startByMs, item }: QueuedRequest<T>) => startByMs <= now + delayMs(item)
    const expired = this.#entries.filter(isLate)
    this.#entries = this.#entries.filter((entry) => !isLate(entry))
    return expired
  }
}
