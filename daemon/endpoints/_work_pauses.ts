/** Decides for how long an endpoint gets no new work, although it is not leaving. */
import type { EndpointId } from '../../core/ids/index.ts'
import type { FailurePoint } from '../../core/outcome/index.ts'
import { BackOffs, NO_FAILURES, recordFailure, type BackOffChange, type FailureCount } from '../../core/retry/index.ts'
import { availableAtMs, backsOff, type EndpointView } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { log } from '../log/index.ts'

/** An attempt that failed. */
export interface AttemptFailure {
  point: FailurePoint
  /** When it was sent, in milliseconds on the steady clock. */
  sentAtMs: number
}

/** How long an unresponsive endpoint gets no work, in milliseconds. The registry reports endpoints that are gone within four times as long. */
const SILENCE_EJECTION_MS = 1000

/** Pauses work for endpoints that fail, are silent or ask for time, by setting the times in their views. */
export class WorkPauses {
  readonly #failures = new Map<EndpointId, FailureCount>()
  readonly #backOffs = new BackOffs()

  /** Stops sending work for a while to an endpoint that has requests but sends no data. */
  silent (view: EndpointView): void {
    const now = steadyNow()
    if (view.ejectedUntilMs > now) return
    view.ejectedUntilMs = now + SILENCE_EJECTION_MS
    log('endpoint-silent', { endpoint: view.id, wordAgeMs: Math.round(now - (view.lastActivityAtMs ?? now)), forMs: SILENCE_EJECTION_MS })
  }

  /**
   * Counts an attempt that failed because of the endpoint; repeated failures eject it for a while. Refusals during a back-off are not counted: the
   * endpoint has said when it takes requests again, which an ejection would only guess.
   */
  failed (view: EndpointView, { point, sentAtMs }: AttemptFailure): void {
    const now = steadyNow()
    if (point === 'withheld' || (point === 'endpoint-said-not-run' && backsOff(view, now))) return
    const count = recordFailure(this.#failures.get(view.id) ?? NO_FAILURES, { sentAtMs, now })
    this.#failures.set(view.id, count)
    if (count.untilMs <= view.ejectedUntilMs) return
    log('endpoint-avoided', { endpoint: view.id, failures: count.consecutive, forMs: Math.round(count.untilMs - now) })
    view.ejectedUntilMs = count.untilMs
  }

  /** Resets an endpoint's failure count. */
  succeeded (id: EndpointId): void {
    this.#failures.delete(id)
  }

  /** Ends an endpoint's ejection and resets its failure count. */
  endEjection (view: EndpointView): void {
    this.#failures.delete(view.id)
    view.ejectedUntilMs = 0
  }

  /** Sends no new work to an endpoint until a time that it asked for, and returns the change that this makes; undefined if it makes none. */
  backOff (view: EndpointView, untilMs: number): BackOffChange | undefined {
    const change = this.#backOffs.record(view.id, untilMs, steadyNow())
    if (change) view.backOffUntilMs = untilMs
    return change
  }

  /** Continues the back-off of an endpoint that is listed again. */
  listed (view: EndpointView): void {
    view.backOffUntilMs = this.#backOffs.untilMs(view.id)
  }

  /** Removes back-offs that have ended. */
  prune (): void {
    this.#backOffs.prune(steadyNow())
  }
}

/**
 * Returns the time until one of the endpoints may get work, in milliseconds, if none may now and at least one asked for time; 0 otherwise.
 *
 * Ejections alone do not count: they are estimates, and another endpoint may be listed sooner.
 */
export function remainingBackOffMs (views: readonly EndpointView[]): number {
  const now = steadyNow()
  if (!views.some((view) => backsOff(view, now))) return 0
  return Math.max(0, Math.min(...views.map(availableAtMs)) - now)
}
