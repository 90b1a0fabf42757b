/** Follows the store through a few daemons: asks them what has changed, and answers those that ask this one. */
import { newsSources } from '../../core/relay/index.ts'
import type { DaemonId } from '../../core/ids/index.ts'
import type { Member } from '../../core/membership/index.ts'
import type { Hash32 } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { ChangeLog, StoreError, type Changes, type ObjectSource, type Snapshot } from '../../store/index.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import type { Links } from './links.ts'

/** Options of {@linkcode StoreRelay}. */
export interface StoreRelayOptions {
  store: ObjectSource
  links: Links
  /** This daemon's own record. */
  self (): Member
  /** Daemons that take new work, this one included. */
  working (): readonly Member[]
  hash: Hash32
  metrics: Metrics
  /** Time in which a change must be known everywhere, in milliseconds: an endpoint that left may get new work for so long. */
  newsMs: number
}

/** What a daemon asks another: changes of a prefix after a version, within a wait. */
interface Question { prefix: string, after: number, waitMs: number }
/** The answer: changes, and how long ago their source in the store answered last, in milliseconds. */
interface Answer extends Changes { ageMs: number }

/**
 * Part of the time for news that a question waits where there is none; after twice as long without an answer whoever was asked is taken for silent. Half of the
 * time is left to ask the store.
 */
const WAIT_PART = 1 / 4
/** A daemon that failed to answer is not asked for this long, in milliseconds: links that went silent are dialled anew in four seconds. */
const PASSED_OVER_MS = 4000
/**
 * Part of the time for news that a watch of the store may wait. A watcher whose watch gets no answer gives it up a moment later and is known to have lost the
 * store while there is still time: those that ask it ask the store themselves.
 */
const WATCH_PART = 1 / 2
/**
 * Age of news that is still passed on, as a part of the time for news: a watch's wait and its grace, and two daemons between. More means that daemons ask each
 * other in a circle, or have lost the store without noticing.
 */
const MOST_AGE_PART = 3 / 2
const ASK = 'store-changes'

/** Owns the exchange of what changes in the store; one for all prefixes that a daemon follows. */
export class StoreRelay {
  readonly #options: StoreRelayOptions
  readonly #followed = new Map<string, FollowedPrefix>()
  readonly #failedAtMs = new Map<DaemonId, number>()

  constructor (options: StoreRelayOptions) {
    this.#options = options
    options.links.handle(ASK, async ({ prefix, after, waitMs }: Question) => {
      const followed = this.#followed.get(prefix)
      if (!followed) throw new Error(`Cannot tell of ${prefix}: it is not followed here`)
      return await followed.answer(after, waitMs)
    })
  }

  /** How long a watch of the store itself may wait, in milliseconds. */
  get watchWaitMs (): number { return this.#options.newsMs * WATCH_PART }

  /** The objects of a prefix, to be followed from here. */
  source (prefix: string): ObjectSource {
    const { store, newsMs } = this.#options
    const followed = new FollowedPrefix(prefix, { store, mostAgeMs: newsMs * MOST_AGE_PART, ask: (after) => this.#ask(prefix, after) })
    this.#followed.set(prefix, followed)
    return followed
  }

  /** Asks the daemons in their order; undefined when the store itself should be asked. */
  async #ask (prefix: string, after: number): Promise<Answer | undefined> {
    for (const daemon of this.#sources()) {
      const answer = await this.#askOne(daemon, prefix, after)
      if (answer) return answer
    }
    return undefined
  }

  #sources (): Member[] {
    const now = steadyNow()
    const { self, working, hash } = this.#options
    return newsSources(self(), working(), { hash }).filter(({ id }) => now - (this.#failedAtMs.get(id) ?? -Infinity) > PASSED_OVER_MS)
  }

  async #askOne (daemon: Member, prefix: string, after: number): Promise<Answer | undefined> {
    const { links, newsMs, metrics } = this.#options
    const waitMs = newsMs * WAIT_PART
    try {
      const answer = await links.call(daemon, ASK, { prefix, after, waitMs } satisfies Question, { timeoutMs: 2 * waitMs }) as Answer
      metrics.newsAge.observe({ prefix }, answer.ageMs)
      return answer
    } catch (err) {
      this.#failedAtMs.set(daemon.id, steadyNow())
      log('relay-failed', { peer: daemon.id, prefix, why: (err as Error).message })
      return undefined
    }
  }
}

interface FollowedPrefixOptions {
  store: ObjectSource
  /** Older news are not passed on, in milliseconds. */
  mostAgeMs: number
  ask (after: number): Promise<Answer | undefined>
}

/** One prefix as this daemon follows it. */
class FollowedPrefix implements ObjectSource {
  readonly #prefix: string
  readonly #options: FollowedPrefixOptions
  readonly #log = new ChangeLog()
  readonly #waiting = new Set<() => void>()
  /** When the store itself was last heard, by whatever way; undefined while it is lost. */
  #heardAtMs: number | undefined

  constructor (prefix: string, options: FollowedPrefixOptions) {
    this.#prefix = prefix
    this.#options = options
  }

  /** Always from the store: a listing follows on a start or a failure, when the others' copies are least to be trusted. */
  async snapshot (): Promise<Snapshot> {
    const snapshot = await this.#orLost(this.#options.store.snapshot(this.#prefix))
    this.#log.listed(snapshot)
    this.#heard(0)
    return snapshot
  }

  async changes (_prefix: string, { after, waitMs }: { after: number, waitMs: number }): Promise<Changes> {
    const answer = await this.#options.ask(after)
    if (answer) {
      this.#log.changed(answer)
      this.#heard(answer.ageMs)
      return { ...answer, checked: true }
    }
    const changes = await this.#orLost(this.#options.store.changes(this.#prefix, { after, waitMs }))
    this.#log.changed(changes)
    this.#heard(0)
    return changes
  }

  /**
   * Answers a daemon that follows through this one.
   * @throws {Error} When this daemon cannot know: it lost the store, its news are too old, or it does not go back to that version.
   */
  async answer (after: number, waitMs: number): Promise<Answer> {
    const untilMs = steadyNow() + waitMs
    for (;;) {
      const ageMs = this.#heardAtMs === undefined ? Infinity : steadyNow() - this.#heardAtMs
      if (ageMs > this.#options.mostAgeMs) throw new Error(`Cannot tell of ${this.#prefix}: the store was not heard lately`)
      const changes = this.#log.since(after)
      if (!changes) throw new Error(`Cannot tell of ${this.#prefix}: changes after version ${after} are not known`)
      const leftMs = untilMs - steadyNow()
      if (changes.objects.length + changes.removed.length > 0 || leftMs <= 0) return { ...changes, ageMs }
      await this.#news(leftMs)
    }
  }

  async #orLost<T> (call: Promise<T>): Promise<T> {
    try {
      return await call
    } catch (err) {
      // Whoever asks this daemon must ask the store instead, and learn whether it is away: entries that lapse in an outage are told from endpoints that left.
      if (err instanceof StoreError && err.failure !== 'history-gone') this.#lost()
      throw err
    }
  }

  #lost (): void {
    this.#heardAtMs = undefined
    this.#wake()
  }

  #heard (ageMs: number): void {
    this.#heardAtMs = steadyNow() - ageMs
    this.#wake()
  }

  #wake (): void {
    for (const wake of [...this.#waiting]) wake()
  }

  #news (longestMs: number): Promise<void> {
    return new Promise((resolve) => {
      const done = () => {
        clearTimeout(timer)
        this.#waiting.delete(done)
        resolve()
      }
      const timer = setTimeout(done, longestMs)
      this.#waiting.add(done)
    })
  }
}
