/** Entries that vanish from the registry because it was away, and not because their endpoints are. */
import type { ListedEndpoint } from './endpoint_listing.ts'

/** How long after the registry's return an entry that lapsed may take to come back, in milliseconds: about two seconds are promised. */
export const LAPSE_MS = 2500
/** Part of the endpoints that do not vanish at once while they live: a failure domain of two or three goes with notices, a crash takes fewer. */
const MASS_PART = 0.5
/** Fewer that vanish at once say nothing. */
const LEAST_MASS = 3

/** What a change of the registry looks like. */
export interface RegistryChange {
  /** Endpoints believed in before it. */
  known: readonly ListedEndpoint[]
  /** True for the first answer after calls that failed. */
  storeWasAway: boolean
  /** Milliseconds on the steady clock. */
  now: number
}

/**
 * Holds back the news that endpoints are gone while the registry may have lost entries of living ones.
 *
 * Guards against an outage of the registry that outlasts entries: on its return all of them are missing, are taken for leaving, and stay so though they are back
 * within two seconds; every caller was turned away for 14 s on a played day. A watch that hung all the while tells of no outage, but of most endpoints
 * at once. What does die meanwhile shows by its silence.
 */
export class Lapses {
  readonly #lapsed = new Map<string, ListedEndpoint>()
  #untilMs = -Infinity
  #why = 'nothing'

  /** Takes in which endpoints are missing now, and tells which of them may come back. */
  missing (missing: readonly ListedEndpoint[], change: RegistryChange): ListedEndpoint[] {
    const names = new Set(missing.map(({ name }) => name))
    for (const name of this.#lapsed.keys()) if (!names.has(name)) this.#lapsed.delete(name)
    const staying = missing.filter(({ leaving }) => !leaving)
    const mass = isMass(staying, change.known)
    if (change.storeWasAway || mass) {
      this.#untilMs = Math.max(this.#untilMs, change.now + LAPSE_MS)
      this.#why = mass ? 'most entries vanished' : 'calls had failed'
    }
    if (change.now >= this.#untilMs) this.#lapsed.clear()
    else for (const endpoint of staying) this.#lapsed.set(endpoint.name, endpoint)
    return staying.filter(({ name }) => this.#lapsed.has(name))
  }

  /** Those that may come back. */
  get held (): ListedEndpoint[] { return [...this.#lapsed.values()] }

  /** What was last taken for an outage of the registry, and until when entries may come back, in milliseconds on the steady clock. */
  get suspicion (): { why: string, untilMs: number } { return { why: this.#why, untilMs: this.#untilMs } }

  /** True while some may come back. */
  get pending (): boolean { return this.#lapsed.size > 0 }

  /** Forgets and returns those that are not back in time. */
  overdue (now: number): ListedEndpoint[] {
    if (now < this.#untilMs) return []
    const gone = [...this.#lapsed.values()]
    this.#lapsed.clear()
    return gone
  }
}

function isMass (missing: readonly ListedEndpoint[], known: readonly ListedEndpoint[]): boolean {
  const staying = known.filter(({ leaving }) => !leaving).length
  return missing.length >= LEAST_MASS && missing.length >= staying * MASS_PART
}
