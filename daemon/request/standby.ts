/** Replicates the state of running streams to another daemon, which takes them over if this daemon fails. */
import type { DaemonId, EndpointId, RequestId } from '../../core/ids/index.ts'
import { GONE_AFTER_MS, type Member } from '../../core/membership/index.ts'
import type { Hash32 } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { HandOver } from './token_task.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode Standby}. */
export interface StandbyOptions {
  self: DaemonId
  hash: Hash32
  membership: MembershipTask
  /** Returns all running streams of this daemon, for an heir that has none of their records yet. */
  running (): HandOver[]
  /** Takes over a stream of a failed daemon. */
  takeOver (handOver: HandOver): void
  /** Returns when a leaving endpoint will be gone, in milliseconds on the steady clock; undefined if it is not leaving. */
  goneAtMs (endpoint: EndpointId): number | undefined
}

/** Changes to the records that a daemon's heir keeps. `whole` replaces all of them. */
interface StandbyUpdate { up: HandOver[], down: RequestId[], whole: boolean }

/** Time for which changes are collected before they are sent together, in milliseconds. */
const FLUSH_DELAY_MS = 50
/** Most records kept for one other daemon: as many as its default limit of open requests. */
const MAX_RECORDS_PER_DAEMON = 4000

/**
 * Sends records of this daemon's running streams to its heir, the daemon that takes over from it, and keeps the records of other daemons.
 *
 * The records are held in memory only: if both daemons fail, callers get the outcome `unknown`. The heir is in another failure domain if
 * possible, since the loss of a domain takes down all daemons in it.
 */
export class Standby {
  readonly #options: StandbyOptions
  readonly #records = new Map<DaemonId, Map<RequestId, HandOver>>()
  #heir: DaemonId | undefined
  #changed = new Map<RequestId, HandOver>()
  #endedIds: RequestId[] = []
  #flushTimer: NodeJS.Timeout | undefined

  constructor (options: StandbyOptions) {
    this.#options = options
    options.membership.links.handle('stand-by', async (update: StandbyUpdate, { from }) => this.#applyUpdate(from, update))
    options.membership.onMember((member) => this.#memberChanged(member))
  }

  /** Number of records kept for other daemons. */
  get recordCount (): number { return [...this.#records.values()].reduce((sum, records) => sum + records.size, 0) }

  /** Records that a stream started an attempt. */
  started (handOver: HandOver): void {
    this.#changed.set(handOver.id, handOver)
    this.#scheduleFlush()
  }

  /** Records that a stream ended. */
  ended (id: RequestId): void {
    if (!this.#changed.delete(id)) this.#endedIds.push(id)
    this.#scheduleFlush()
  }

  /** Returns the daemon that takes over from this one, by rendezvous hashing over daemons in other failure domains if there are any. */
  heir (): Member | undefined {
    const { membership, self, hash } = this.#options
    const others = membership.acceptingWork.filter((member) => member.id !== self)
    const elsewhere = others.filter((member) => member.failureDomain !== membership.core.self.failureDomain)
    const candidates = elsewhere.length > 0 ? elsewhere : others
    return candidates.sort((a, b) => hash(`${self}/${b.id}`) - hash(`${self}/${a.id}`))[0]
  }

  #memberChanged (member: Member): void {
    // Only the latest heir takes over. An earlier one would find the stream ended and report that to callers instead of the answer.
    if (member.heir === this.#options.self) this.#takeOverFrom(member)
    if (member.state === 'left' || member.state === 'gone') this.#records.delete(member.id)
    if (member.id === this.#options.self) return
    const heir = this.heir()
    if (heir?.id === this.#heir) return
    this.#sendUpdate(this.#memberById(this.#heir), { up: [], down: [], whole: true })
    this.#heir = heir?.id
    this.#options.membership.setSelf({ heir: heir?.id })
    this.#sendUpdate(heir, { up: this.#options.running(), down: [], whole: true })
  }

  /**
   * Takes over all streams of a daemon that is gone. From a suspected daemon, takes over only streams whose endpoints leave before it could be confirmed gone.
   *
   * Those streams would certainly be lost by waiting. If the daemon was only paused, it finds its streams taken over, which for a
   * non-idempotent request results in `unknown`. This is accepted only where waiting costs as much.
   */
  #takeOverFrom ({ id, state }: Member): void {
    if (state !== 'gone' && state !== 'suspect') return
    const knownAtMs = steadyNow() + GONE_AFTER_MS
    for (const handOver of [...this.#records.get(id)?.values() ?? []]) {
      const urgent = handOver.endpoint !== undefined && (this.#options.goneAtMs(handOver.endpoint) ?? Infinity) < knownAtMs
      if (state !== 'gone' && !urgent) continue
      this.#records.get(id)!.delete(handOver.id)
      this.#options.takeOver(handOver)
    }
  }

  #applyUpdate (from: DaemonId, update: StandbyUpdate): void {
    let records = this.#records.get(from)
    if (!records || update.whole) {
      records = new Map()
      this.#records.set(from, records)
    }
    for (const handOver of update.up) if (records.size < MAX_RECORDS_PER_DAEMON) records.set(handOver.id, handOver)
    for (const id of update.down) records.delete(id)
  }

  /** Batches changes that occur close together into one update. */
  #scheduleFlush (): void {
    this.#flushTimer ??= setTimeout(guarded('standby', () => {
      this.#flushTimer = undefined
      const update: StandbyUpdate = { up: [...this.#changed.values()], down: this.#endedIds, whole: false }
      this.#changed = new Map()
      this.#endedIds = []
      this.#sendUpdate(this.#memberById(this.#heir), update)
    }), FLUSH_DELAY_MS)
  }

  #memberById (id: DaemonId | undefined): Member | undefined {
    return id === undefined ? undefined : this.#options.membership.core.member(id)
  }

  /** Sends an update. Errors are ignored: a lost update only means that the heir cannot take over the streams it names. */
  #sendUpdate (heir: Member | undefined, update: StandbyUpdate): void {
    if (!heir || (update.up.length === 0 && update.down.length === 0 && !update.whole)) return
    this.#options.membership.links.call(heir, 'stand-by', update).catch(() => {})
  }
}
