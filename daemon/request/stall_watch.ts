/** Detects attempts and endpoints that have gone silent. */
import type { EndpointId } from '../../core/ids/index.ts'
import type { PathState } from '../../core/paths/index.ts'
import { overdueAtMs, type AttemptProgress } from '../../core/request/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import { guarded } from '../tasks/index.ts'

/** A request whose current attempt is checked for silence. */
export interface WatchedRequest {
  /** The endpoint that runs the current attempt. */
  readonly runningAt: EndpointId | undefined
  /** Progress of the current attempt; undefined while none runs. */
  readonly progress: AttemptProgress | undefined
  /** State of reading the answer; silence before `readingSinceMs` is not the endpoint's. Default: it is always read. */
  readonly flow?: { readonly readingSinceMs: number }
  /** Abandons the attempt and retries it at another endpoint, if that is allowed. */
  handleStall (): void
}

/** Options of {@linkcode StallWatch}. */
export interface StallWatchOptions {
  table: EndpointTable
  /** State of the network paths to the endpoints. Default: all endpoints can be reached. */
  paths?: { stateOf (id: EndpointId): PathState }
  /** Returns the open requests of this daemon. */
  open (): Iterable<WatchedRequest>
}

/** Interval between checks, in milliseconds: a fraction of the shortest silence that is detected. */
const CHECK_INTERVAL_MS = 100
/**
 * A gap between two checks that shows that this process was paused, in milliseconds.
 *
 * Data that arrived during the pause has not been read yet. Without an allowance for the pause all endpoints would appear silent at once, and the daemon
 * would refuse requests.
 */
const PROCESS_PAUSE_MS = 4 * CHECK_INTERVAL_MS
/** Factor on the silence allowed for an attempt whose endpoint still answers other requests. Its answer may be lost, or be delayed behind those of others. */
const SINGLE_ATTEMPT_FACTOR = 2

/** Checks all open attempts periodically. Without it, callers of an endpoint that became unresponsive or slow would wait until they give up. */
export class StallWatch {
  readonly #options: StallWatchOptions
  #timer: NodeJS.Timeout | undefined
  #checkedAtMs = steadyNow()
  /** When this process last continued after a pause. */
  #resumedAtMs = -Infinity

  constructor (options: StallWatchOptions) {
    this.#options = options
  }

  /** Starts the periodic checks. */
  start (): void {
    this.#timer = setInterval(guarded('stall-watch', () => this.check()), CHECK_INTERVAL_MS)
  }

  /** Stops the periodic checks. */
  stop (): void {
    clearInterval(this.#timer)
  }

  /** Checks all open attempts once. */
  check (): void {
    const now = steadyNow()
    if (now - this.#checkedAtMs > PROCESS_PAUSE_MS) this.#resumedAtMs = now
    this.#checkedAtMs = now
    for (const request of [...this.#options.open()]) this.#checkRequest(request, now)
  }

  /** While a path is in doubt, silence says nothing about the endpoint. */
  #isPathInDoubt (endpoint: EndpointId): boolean {
    return this.#options.paths?.stateOf(endpoint) === 'checking'
  }

  #checkRequest (request: WatchedRequest, now: number): void {
    const { table } = this.#options
    const { runningAt: endpoint, progress } = request
    if (endpoint === undefined || !progress) return
    const lastActiveMs = progress.lastPieceAtMs ?? progress.sentAtMs
    const maxSilenceMs = overdueAtMs(progress, { typicalIntervalMs: table.typicalIntervalMs(endpoint) }) - lastActiveMs
    const silentSinceMs = Math.max(lastActiveMs, this.#resumedAtMs, request.flow?.readingSinceMs ?? -Infinity)
    if (now < silentSinceMs + maxSilenceMs || this.#isPathInDoubt(endpoint)) return
    if (now - Math.max(table.lastActivityAtMs(endpoint), this.#resumedAtMs) >= maxSilenceMs) {
      table.markSilent(endpoint)
      request.handleStall()
    } else if (now >= silentSinceMs + maxSilenceMs * SINGLE_ATTEMPT_FACTOR) request.handleStall()
  }
}
