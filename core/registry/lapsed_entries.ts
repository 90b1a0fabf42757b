/** Entries that vanish from a registry because it was away, and not because the endpoints behind them left. */

/** One entry as an answer of the registry tells of it. */
export interface EntryState {
  /** Version at which it was last written. */
  version: number
  /** It says itself that its endpoint leaves, or names none: nobody waits for its return. */
  leaving: boolean
}

/** An answer of the registry: all entries that it has. */
export interface RegistryAnswer {
  entries: ReadonlyMap<string, EntryState>
  /** Version of the registry up to which it tells. */
  version: number
  /** True for the first answer after a call that failed. */
  afterFailure: boolean
  /** Milliseconds on the steady clock. */
  now: number
}

/** What an answer means for entries that are not there, by name. */
export interface VanishedEntries {
  /** Kept for now, and why. */
  held: string[]
  why: string
  /** Held before, and written anew. */
  back: string[]
  /** Their endpoints have left. */
  gone: string[]
}

/** Options of {@linkcode LapsedEntries}. */
export interface LapsedEntriesOptions {
  /** An endpoint renews its entry about this often, in milliseconds. Default 1,200. */
  renewEveryMs?: number
  /** An endpoint that left may get new work for this long, in milliseconds. Default 2,000. */
  leavingMs?: number
}

const DEFAULT_RENEW_EVERY_MS = 1200
const DEFAULT_LEAVING_MS = 2000

/** How long after the registry's return an entry that lapsed may take to come back, in milliseconds: about two seconds are promised. */
const BACK_MS = 2500
/** Part of the time after leaving that entries are held: the rest is for news and work on their way. */
const HELD_PART = 0.9
/** Renewals that fail before an entry can lapse: after three in a row it does, and the first may have been due just when the registry went. */
const RENEWALS_MISSED = 2
/** Part of the endpoints that do not vanish at once while they live: a failure domain of two or three goes with notices, a crash takes fewer. */
const MASS_PART = 0.5
/** Fewer that vanish at once say nothing. */
const LEAST_MASS = 3

/**
 * Holds back the news that endpoints have left while the registry may have lost entries of living ones.
 *
 * Guards against an outage of the registry that outlasts entries: on its return all of them are missing, and without this every caller is turned away
 * until they are written anew. A watch that hung all the while tells of no outage, but of most entries at once. What does die meanwhile shows by its silence.
 *
 * Only what the outage itself can have taken is held: most entries lapsed with it, the entry was not written since, and the hold begins with the return and ends at a fixed time,
 * whatever comes back or goes meanwhile. It never outlasts the time in which a leaving endpoint may get new work.
 */
export class LapsedEntries {
  readonly #options: LapsedEntriesOptions
  /** Entries there at the last answer. */
  #present: ReadonlyMap<string, EntryState> = new Map()
  /** Entries that are held, and until when. */
  readonly #held = new Map<string, number>()
  #answer = { version: 0, atMs: -Infinity }
  /** The last outage that is suspected: entries written after `sinceVersion` outlived it. */
  #outage = { why: 'none', sinceVersion: 0, untilMs: -Infinity }

  constructor (options: LapsedEntriesOptions = {}) {
    this.#options = options
  }

  /** Takes in an answer. */
  take (answer: RegistryAnswer): VanishedEntries {
    const { entries, now } = answer
    const missing = [...this.#present].filter(([name]) => !entries.has(name))
    const staying = missing.filter(([, { leaving }]) => !leaving)
    this.#suspect(answer, staying.length)
    const back = this.held.filter((name) => entries.has(name))
    for (const name of back) this.#held.delete(name)
    const overdue = this.overdue(now)
    const held = staying.filter(([, entry]) => this.#mayHaveLapsed(entry, now)).map(([name]) => name)
    for (const name of held) this.#held.set(name, this.#outage.untilMs)
    this.#present = entries
    this.#answer = { version: answer.version, atMs: now }
    const left = missing.map(([name]) => name).filter((name) => !this.#held.has(name))
    return { held, why: this.#outage.why, back, gone: [...overdue, ...left] }
  }

  /** Names of those that are held. */
  get held (): string[] { return [...this.#held.keys()] }

  /** When the first of them is given up, in milliseconds on the steady clock; undefined while none is held. */
  get untilMs (): number | undefined {
    return this.#held.size > 0 ? Math.min(...this.#held.values()) : undefined
  }

  /** Forgets and returns the names of those that are not back in time. */
  overdue (now: number): string[] {
    const gone = this.held.filter((name) => this.#held.get(name)! <= now)
    for (const name of gone) this.#held.delete(name)
    return gone
  }

  #suspect (answer: RegistryAnswer, vanished: number): void {
    const { version, atMs } = this.#answer
    const unansweredMs = answer.now - atMs
    const wasAway = answer.afterFailure && unansweredMs >= RENEWALS_MISSED * (this.#options.renewEveryMs ?? DEFAULT_RENEW_EVERY_MS) && this.#mostLapsed(answer.entries)
    const mass = this.#isMass(vanished)
    if (!wasAway && !mass) return
    const untilMs = answer.now + Math.min(BACK_MS, HELD_PART * (this.#options.leavingMs ?? DEFAULT_LEAVING_MS))
    this.#outage = { why: mass ? 'most entries vanished' : 'calls had failed', sinceVersion: version, untilMs }
    // Nobody could write while the registry was away: those that were held before it went again have as long as the others.
    if (wasAway) for (const name of this.#held.keys()) this.#held.set(name, untilMs)
  }

  #isMass (vanished: number): boolean {
    return vanished >= LEAST_MASS && vanished >= this.#staying.length * MASS_PART
  }

  /** Outages take most entries or none; where most are as they were, only the connection was lost. */
  #mostLapsed (entries: RegistryAnswer['entries']): boolean {
    const lapsed = this.#staying.filter(([name, { version }]) => entries.get(name)?.version !== version)
    return lapsed.length > this.#staying.length * MASS_PART || this.#staying.length === 0
  }

  get #staying (): Array<[string, EntryState]> {
    return [...this.#present].filter(([, { leaving }]) => !leaving)
  }

  /** An entry that was written since the outage shows that its endpoint reached the registry: if it goes after that, its endpoint left. */
  #mayHaveLapsed (entry: EntryState, now: number): boolean {
    return now < this.#outage.untilMs && entry.version <= this.#outage.sinceVersion
  }
}
