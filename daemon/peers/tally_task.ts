/** Tells all daemons of this one's totals, several times a second, and hears of theirs. */
import type { DaemonId } from '../../core/ids/index.ts'
import { mayAnswer, type Member } from '../../core/membership/index.ts'
import { Tally, type TallyEntry, type TallyGrowth, type TallySheet } from '../../core/tally/index.ts'
import { SharedClock, steadyNow } from '../../core/time/index.ts'
import type { MembershipTask } from './membership_task.ts'

/** Options of {@linkcode TallyTask}. */
export interface TallyTaskOptions {
  self: DaemonId
  membership: MembershipTask
}

/** What daemons send each other. */
interface Beat { entries: TallyEntry[], wallMs: number }
interface Introduction { sheets: TallySheet[] }

/** Part of the daemons that this one hears. */
export interface Hearing {
  /** Daemons heard lately, this one included. */
  heard: number
  /** Daemons that count, this one included. */
  all: number
}

/** Between two beats of a small fleet, in milliseconds: what is counted on is at most this old and the way between two daemons. */
const BEAT_MS = 100
/** Beats grow rarer with the fleet, so that a daemon sends and takes at most 400 a second. */
const BEAT_MS_PER_DAEMON = 2.5
/** Beats that may be missed before a daemon counts as not heard. */
const MISSED_BEATS = 3.5
/** Beats that may be missed before its link is given up: an open connection may have gone silent for good. */
const SILENT_BEATS = 10
/** How long a daemon that is not heard may still be there, in milliseconds: longer than any partition that was announced. */
const COUNTED_MS = 120_000
const TOPIC = 'tally'
const INTRODUCTION = 'tally-all'

/** Owns the totals and their spreading. */
export class TallyTask {
  readonly tally: Tally
  /** The time of day that the daemons agree on. */
  readonly clock = new SharedClock({ wallMs: Date.now(), steadyMs: steadyNow() })
  readonly #options: TallyTaskOptions
  readonly #heardAtMs = new Map<DaemonId, number>()
  /** When daemons that were never heard were first heard of. */
  readonly #knownAtMs = new Map<DaemonId, number>()
  readonly #resetAtMs = new Map<DaemonId, number>()
  readonly #listeners: Array<(growth: readonly TallyGrowth[]) => void> = []
  #timer: NodeJS.Timeout | undefined

  constructor (options: TallyTaskOptions) {
    this.#options = options
    this.tally = new Tally(options.self)
    const { membership } = options
    membership.links.onPost(TOPIC, ({ entries, wallMs }: Beat, from) => {
      this.clock.told(from, wallMs, steadyNow())
      this.#heard(from, [{ daemon: from, entries }])
    })
    membership.links.onPost(INTRODUCTION, ({ sheets }: Introduction, from) => this.#heard(from, sheets))
    membership.onLink((to) => membership.links.post(to, INTRODUCTION, { sheets: this.tally.sheets() } satisfies Introduction))
  }

  /** Registers a listener for what others added. */
  onGrowth (listener: (growth: readonly TallyGrowth[]) => void): void {
    this.#listeners.push(listener)
  }

  /** Begins to tell. */
  start (): void {
    this.#beatLater()
  }

  /** Stops, after a last word of what was not told yet. */
  stop (): void {
    clearTimeout(this.#timer)
    this.#tell()
  }

  /** Milliseconds between two beats at the fleet's present size. */
  get beatMs (): number {
    return Math.max(BEAT_MS, this.#options.membership.core.members.filter(mayAnswer).length * BEAT_MS_PER_DAEMON)
  }

  /**
   * How many daemons are heard, out of those that may still act.
   *
   * A daemon that is not heard may be parted from this one and use what both share, even when the others call it gone; only one that said
   * that it leaves certainly does not. Two processes at one address are one host: the earlier one is dead.
   */
  hearing (): Hearing {
    const now = steadyNow()
    const oldestBeat = now - this.beatMs * MISSED_BEATS
    const heardAt = new Map<string, boolean>()
    for (const { id, address, state } of this.#options.membership.core.members) {
      const heardAtMs = this.#knownAt(id, now)
      const heard = id === this.#options.self || (this.#heardAtMs.has(id) && heardAtMs >= oldestBeat)
      if (state === 'left' || (!heard && now - heardAtMs > COUNTED_MS)) continue
      heardAt.set(address, heard || (heardAt.get(address) ?? false))
    }
    return { heard: [...heardAt.values()].filter(Boolean).length, all: heardAt.size }
  }

  /** When a daemon was last heard, or first heard of. */
  #knownAt (id: DaemonId, now: number): number {
    const heardAtMs = this.#heardAtMs.get(id)
    if (heardAtMs !== undefined) return heardAtMs
    const knownAtMs = this.#knownAtMs.get(id) ?? now
    this.#knownAtMs.set(id, knownAtMs)
    return knownAtMs
  }

  #beatLater (): void {
    this.#timer = setTimeout(() => {
      this.#tell()
      this.#giveUpSilent()
      this.#beatLater()
    }, this.beatMs)
  }

  #tell (): void {
    const { links } = this.#options.membership
    const beat: Beat = { entries: this.tally.takeChanges(), wallMs: this.clock.now(steadyNow()) }
    for (const member of this.#others()) links.post(member.id, TOPIC, beat)
    links.tend(steadyNow())
  }

  #giveUpSilent (): void {
    const oldest = steadyNow() - this.beatMs * SILENT_BEATS
    for (const { id } of this.#others()) {
      const heardAtMs = this.#heardAtMs.get(id)
      if (heardAtMs === undefined || heardAtMs >= oldest || (this.#resetAtMs.get(id) ?? -Infinity) >= oldest) continue
      this.#resetAtMs.set(id, steadyNow())
      this.clock.forget(id)
      this.#options.membership.links.reset(id)
    }
  }

  #others (): Member[] {
    return this.#options.membership.core.members.filter((member) => mayAnswer(member) && member.id !== this.#options.self)
  }

  #heard (from: DaemonId, sheets: readonly TallySheet[]): void {
    this.#heardAtMs.set(from, steadyNow())
    const growth = sheets.flatMap((sheet) => this.tally.receive(sheet))
    if (growth.length > 0) for (const listener of this.#listeners) listener(growth)
  }
}
