/** Passes configurations between daemons: serves the one in force, and fetches announced revisions until one is in force. */
import type { DaemonId } from '../../core/ids/index.ts'
import type { Member } from '../../core/membership/index.ts'
import { delay, steadyNow, Waiters } from '../../core/time/index.ts'
import { log } from '../log/index.ts'
import type { MembershipTask } from '../peers/membership_task.ts'

/** A configuration in its stored encoding, and its revision. */
export interface EncodedRevision { revision: number, text: string }

/** Options of {@linkcode RevisionExchange}. */
export interface RevisionExchangeOptions {
  membership: Pick<MembershipTask, 'core' | 'reachable' | 'links' | 'onFact' | 'publishFact'>
  /** Seeded random source in [0, 1) for the choice of peers and jitter. */
  random: () => number
  /** The configuration in force; undefined until one is known. */
  inForce (): EncodedRevision | undefined
  /** Puts a received configuration in force if it is newer. Returns false if it cannot be decoded. */
  receive (text: string, from: DaemonId): boolean
}

/** Asks for a configuration newer than `after`, for which the peer may wait up to `waitMs`. */
interface RevisionRequest { after: number, waitMs: number }

const FACT_KEY = 'config'
const METHOD = 'config'
const AVAILABLE_TOPIC = 'config-available'
/** Age of an announcement beyond which a daemon that gets the revision offers it to its neighbors, in milliseconds: they may miss it, too. */
const OFFER_AFTER_MS = 1000
/** Time after which another peer is asked, in milliseconds. Grows by {@linkcode RETRY_GROWTH} with each attempt, up to the maximum. */
const INITIAL_RETRY_MS = 150
const RETRY_GROWTH = 1.5
const MAX_RETRY_MS = 2000
/** Time that a call may take in addition to the wait of the peer, in milliseconds. */
const CALL_TIMEOUT_MS = 1500

/**
 * Passes revisions of the configuration between daemons.
 *
 * An announcement says that a revision exists, not that its sender has it: announcements are forwarded at once, and the sender may end or be
 * cut off before it is asked. An announced revision is therefore fetched from one peer after the other until it is in force.
 */
export class RevisionExchange {
  readonly #options: RevisionExchangeOptions
  readonly #waiters = new Waiters()
  /** The newest revision that a peer announced, and when it was first announced. */
  #announced = { revision: 0, atMs: 0 }
  /** Peers to ask next; refilled when empty. */
  #candidates: Member[] = []
  #retrying = false
  #stopped = false

  constructor (options: RevisionExchangeOptions) {
    this.#options = options
    options.membership.onFact(({ key, version }, from) => { if (key === FACT_KEY) this.#handleAnnouncement(version, from) })
    options.membership.links.handle(METHOD, async (req: RevisionRequest | null) => {
      // Earlier versions of the daemon send no arguments and expect the configuration in force, however old.
      if (req && this.#revision <= req.after) await this.#waiters.wait(req.waitMs)
      return req === null || this.#revision > req.after ? options.inForce()?.text : undefined
    })
    options.membership.links.onPost(AVAILABLE_TOPIC, (revision: number, from) => {
      const peer = options.membership.core.member(from)
      if (peer && revision > this.#revision) this.#fetchFrom(peer, 0)
    })
  }

  /** Announces the configuration in force to all daemons and answers the peers that wait for it. */
  publish (): void {
    const { membership } = this.#options
    membership.publishFact({ key: FACT_KEY, version: this.#revision, value: null })
    this.#waiters.wakeAll()
    // A revision is announced once; those that could not fetch it then would only ask again at longer and longer intervals.
    if ((this.announcedAgeMs(this.#revision) ?? 0) < OFFER_AFTER_MS) return
    for (const id of membership.core.neighbours) membership.links.post(id, AVAILABLE_TOPIC, this.#revision)
  }

  /** Milliseconds since a revision was first announced; undefined if it was not. */
  announcedAgeMs (revision: number): number | undefined {
    return this.#announced.revision === revision ? Math.round(steadyNow() - this.#announced.atMs) : undefined
  }

  /** Stops fetching. */
  stop (): void {
    this.#stopped = true
  }

  /** True while a peer has announced a revision that is not in force yet. */
  get isMissing (): boolean { return !this.#stopped && this.#announced.revision > this.#revision }

  get #revision (): number { return this.#options.inForce()?.revision ?? 0 }

  #handleAnnouncement (revision: number, from: DaemonId): void {
    if (revision <= Math.max(this.#revision, this.#announced.revision)) return
    this.#announced = { revision, atMs: steadyNow() }
    const sender = this.#options.membership.core.member(from)
    if (sender) this.#fetchFrom(sender, MAX_RETRY_MS)
    this.#retryUntilInForce()
  }

  async #retryUntilInForce (): Promise<void> {
    if (this.#retrying) return
    this.#retrying = true
    let { revision } = this.#announced
    for (let retryMs = INITIAL_RETRY_MS; this.isMissing; retryMs = Math.min(MAX_RETRY_MS, retryMs * RETRY_GROWTH)) {
      await delay(retryMs * (0.75 + this.#options.random() / 2))
      if (revision !== this.#announced.revision) {
        revision = this.#announced.revision
        retryMs = INITIAL_RETRY_MS
      }
      const peer = this.isMissing ? this.#nextPeer() : undefined
      // While this daemon waits to ask the next peer, the last one replies as soon as it has the revision.
      if (peer) this.#fetchFrom(peer, retryMs)
    }
    this.#retrying = false
  }

  /** Neighbors come first: links to them are open, and a link that went silent is replaced within seconds. */
  #nextPeer (): Member | undefined {
    const { core, reachable } = this.#options.membership
    if (this.#candidates.length === 0) {
      const others = reachable.filter(({ id }) => id !== core.self.id)
      const neighbours = others.filter(({ id }) => core.neighbours.includes(id))
      const distant = others.filter(({ id }) => !core.neighbours.includes(id))
      this.#candidates = [...this.#shuffled(distant).slice(0, neighbours.length), ...this.#shuffled(neighbours)]
    }
    return this.#candidates.pop()
  }

  async #fetchFrom (peer: Member, waitMs: number): Promise<void> {
    const { membership, receive } = this.#options
    const { revision } = this.#announced
    try {
      const text = await membership.links.call(peer, METHOD, { after: this.#revision, waitMs } satisfies RevisionRequest, { timeoutMs: waitMs + CALL_TIMEOUT_MS }) as string | undefined
      if (this.#stopped) return
      // A configuration that cannot be decoded here is not fetched again: each peer would return the same one.
      if (text !== undefined && !receive(text, peer.id)) this.#announced.revision = Math.min(this.#announced.revision, this.#revision)
      else if (this.#revision < revision) this.#logMissing(revision, peer.id, `the peer does not have it; revision ${this.#revision} is in force here`)
    } catch (err) {
      if (!this.#stopped && this.#revision < revision) this.#logMissing(revision, peer.id, (err as Error).message)
    }
  }

  #logMissing (revision: number, from: DaemonId, why: string): void {
    log('config-not-fetched', { revision, from, why, announcedAgeMs: this.announcedAgeMs(revision) })
  }

  #shuffled (members: readonly Member[]): Member[] {
    return members.map((member) => ({ member, at: this.#options.random() })).sort((a, b) => a.at - b.at).map(({ member }) => member)
  }
}
