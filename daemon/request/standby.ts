/** Keeps a record of each running stream at another daemon, which carries it on if this daemon is gone. */
import type { DaemonId, EndpointId, RequestId } from '../../core/ids/index.ts'
import { GONE_AFTER_MS, type Member } from '../../core/membership/index.ts'
import type { Hash32 } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { HandOver } from './token_task.ts'

/** Options of {@linkcode Standby}. */
export interface StandbyOptions {
  self: DaemonId
  hash: Hash32
  membership: MembershipTask
  /** Every running stream of this daemon, for an heir that has none of the records yet. */
  running (): HandOver[]
  /** Carries on a stream of a daemon that is gone. */
  adopt (handed: HandOver): void
  /** When a leaving endpoint is gone, in milliseconds since the epoch. */
  goneAtMs (endpoint: EndpointId): number | undefined
}

/** What a daemon tells its heir. */
interface StandbyNews { up: HandOver[], down: RequestId[], whole: boolean }

const FLUSH_MS = 50
/** Records kept for one other daemon: more than it may have open. */
const MOST_RECORDS = 4000

/**
 * Sends this daemon's running streams to its heir and keeps those of others.
 *
 * The records are a cache in memory and no promise: with both daemons gone the callers are told `unknown`. The heir is in another failure
 * domain, since the loss of a domain takes all daemons in it.
 */
export class Standby {
  readonly #options: StandbyOptions
  readonly #records = new Map<DaemonId, Map<RequestId, HandOver>>()
  #heir: DaemonId | undefined
  #up = new Map<RequestId, HandOver>()
  #down: RequestId[] = []
  #flushTimer: NodeJS.Timeout | undefined

  constructor (options: StandbyOptions) {
    this.#options = options
    options.membership.links.handle('stand-by', async (news: StandbyNews, { from }) => this.#take(from, news))
    options.membership.onMember((member) => this.#memberChanged(member))
  }

  /** Records kept for other daemons. */
  get kept (): number { return [...this.#records.values()].reduce((sum, records) => sum + records.size, 0) }

  /** A stream began an attempt. */
  started (handed: HandOver): void {
    this.#up.set(handed.id, handed)
    this.#flushLater()
  }

  /** A stream ended. */
  ended (id: RequestId): void {
    if (!this.#up.delete(id)) this.#down.push(id)
    this.#flushLater()
  }

  /** The daemon that would carry on. */
  heir (): Member | undefined {
    const { membership, self, hash } = this.#options
    const others = membership.working.filter((member) => member.id !== self)
    const elsewhere = others.filter((member) => member.failureDomain !== membership.core.self.failureDomain)
    const candidates = elsewhere.length > 0 ? elsewhere : others
    return candidates.sort((a, b) => hash(`${self}/${b.id}`) - hash(`${self}/${a.id}`))[0]
  }

  #memberChanged (member: Member): void {
    // Only the last heir named: an earlier one would find the stream ended, and tell its callers so in place of the answer.
    if (member.heir === this.#options.self) this.#perhapsCarryOn(member)
    if (member.state === 'left' || member.state === 'gone') this.#records.delete(member.id)
    if (member.id === this.#options.self) return
    const heir = this.heir()
    if (heir?.id === this.#heir) return
    this.#send(this.#memberOf(this.#heir), { up: [], down: [], whole: true })
    this.#heir = heir?.id
    this.#options.membership.setSelf({ heir: heir?.id })
    this.#send(heir, { up: this.#options.running(), down: [], whole: true })
  }

  /**
   * A daemon that is gone is stood in for; one that is only suspected, for the streams whose endpoints leave before it could be known.
   *
   * Waiting would lose those for certain. If the daemon was merely paused, it finds its reading of them taken over, which for a letter
   * means `unknown`: the price of acting on a suspicion, paid only where waiting costs as much.
   */
  #perhapsCarryOn ({ id, state }: Member): void {
    if (state !== 'gone' && state !== 'suspect') return
    const knownAtMs = steadyNow() + GONE_AFTER_MS
    for (const handed of [...this.#records.get(id)?.values() ?? []]) {
      const urgent = handed.endpoint !== undefined && (this.#options.goneAtMs(handed.endpoint) ?? Infinity) < knownAtMs
      if (state !== 'gone' && !urgent) continue
      this.#records.get(id)!.delete(handed.id)
      this.#options.adopt(handed)
    }
  }

  #take (from: DaemonId, news: StandbyNews): void {
    let records = this.#records.get(from)
    if (!records || news.whole) {
      records = new Map()
      this.#records.set(from, records)
    }
    for (const handed of news.up) if (records.size < MOST_RECORDS) records.set(handed.id, handed)
    for (const id of news.down) records.delete(id)
  }

  /** What arrives together is sent together. */
  #flushLater (): void {
    this.#flushTimer ??= setTimeout(() => {
      this.#flushTimer = undefined
      const news: StandbyNews = { up: [...this.#up.values()], down: this.#down, whole: false }
      this.#up = new Map()
      this.#down = []
      this.#send(this.#memberOf(this.#heir), news)
    }, FLUSH_MS)
  }

  #memberOf (id: DaemonId | undefined): Member | undefined {
    return id === undefined ? undefined : this.#options.membership.core.member(id)
  }

  /** News that is lost costs a stream its second chance, and nothing else. */
  #send (heir: Member | undefined, news: StandbyNews): void {
    if (!heir || (news.up.length === 0 && news.down.length === 0 && !news.whole)) return
    this.#options.membership.links.call(heir, 'stand-by', news).catch(() => {})
  }
}
