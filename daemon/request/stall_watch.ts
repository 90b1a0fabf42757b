/** Notices attempts and endpoints that went silent, and carries on elsewhere what may be. */
import type { EndpointId } from '../../core/ids/index.ts'
import { overdueAtMs, type AttemptPulse } from '../../core/request/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'

/** A request whose attempt may have gone silent. */
export interface Watched {
  /** The endpoint that runs it now. */
  readonly runningAt: EndpointId | undefined
  /** Undefined while no attempt runs. */
  readonly pulse: AttemptPulse | undefined
  /** Gives the attempt up and repeats it elsewhere, where that is allowed. */
  stalled (): void
}

/** Options of {@linkcode StallWatch}. */
export interface StallWatchOptions {
  table: EndpointTable
  /** Requests that are open on this daemon. */
  open (): Iterable<Watched>
}

/** Between two looks, in milliseconds: a fraction of the shortest silence that counts. */
const LOOK_MS = 100
/**
 * A gap between two looks that tells that this process stood still, in milliseconds.
 *
 * What endpoints said meanwhile was not read: by its own clock all of them would be silent at once, and its callers be turned away.
 */
const STOOD_STILL_MS = 4 * LOOK_MS
/** Times longer that one attempt must be silent where its endpoint still answers others: a lost answer, or one that was put behind others. */
const ALONE = 2

/** Looks at all open attempts now and then: callers of an endpoint that went dark or slow would wait until they leave. */
export class StallWatch {
  readonly #options: StallWatchOptions
  #timer: NodeJS.Timeout | undefined
  #lookedAtMs = steadyNow()
  /** When this process went on after it had stood still. */
  #resumedAtMs = -Infinity

  constructor (options: StallWatchOptions) {
    this.#options = options
  }

  /** Begins to look. */
  start (): void {
    this.#timer = setInterval(() => this.look(), LOOK_MS)
  }

  /** Stops. */
  stop (): void {
    clearInterval(this.#timer)
  }

  /** Looks once. */
  look (): void {
    const now = steadyNow()
    if (now - this.#lookedAtMs > STOOD_STILL_MS) this.#resumedAtMs = now
    this.#lookedAtMs = now
    for (const watched of [...this.#options.open()]) this.#lookAt(watched, now)
  }

  #lookAt (watched: Watched, now: number): void {
    const { table } = this.#options
    const { runningAt: endpoint, pulse } = watched
    if (endpoint === undefined || !pulse) return
    const lastMs = pulse.pieceAtMs ?? pulse.sentAtMs
    const patienceMs = overdueAtMs(pulse, { usualPauseMs: table.usualPauseMs(endpoint) }) - lastMs
    const since = Math.max(lastMs, this.#resumedAtMs)
    if (now < since + patienceMs) return
    if (now - Math.max(table.lastWordAtMs(endpoint), this.#resumedAtMs) >= patienceMs) {
      table.silent(endpoint)
      watched.stalled()
    } else if (now >= since + patienceMs * ALONE) watched.stalled()
  }
}
