/** Asks the quarantine about one request, and records what became of its attempts. */
import type { EndpointVersion } from '../../core/ids/index.ts'
import { isConnectionAborted, type FailurePoint } from '../../core/outcome/index.ts'
import { isPart, type RequestSuspects } from '../../core/quarantine/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { sharedParts } from '../../core/work/index.ts'
import type { RequestEvents } from '../log/index.ts'
import type { QuarantineStay, WatchedRun } from '../quarantine/index.ts'
import { suspectsOf, type RequestPorts, type RequestWork } from './work.ts'

/** One request, as the quarantine sees it. */
export class QuarantineCheck {
  readonly #work: RequestWork
  readonly #ports: RequestPorts
  readonly #suspects: RequestSuspects

  constructor (work: RequestWork, ports: RequestPorts) {
    this.#work = work
    this.#ports = ports
    this.#suspects = suspectsOf(work)
  }

  /** Returns what quarantines the request at all of the given endpoints; undefined if it may be sent to one of them. Default: those of its pool. */
  heldAt (views: readonly EndpointView[] = this.#ports.table.usable(this.#work.pool)): QuarantineStay | undefined {
    return this.#ports.quarantine.heldAt(this.#suspects, views)
  }

  /** Counts a refusal and returns the fields of its log line. */
  refused ({ suspect, forMs }: QuarantineStay): RequestEvents['request-held'] {
    const { metrics } = this.#ports
    metrics.quarantineRefusals.inc({ class: metrics.labelOf(this.#work.cls.name), cause: isPart(suspect) ? 'part' : 'request' })
    return { fingerprint: this.#work.fingerprint(), part: isPart(suspect) ? suspect : undefined, forMs: Math.round(forMs) }
  }

  /** Returns whether the request must not be repeated after an attempt that failed at this point, since requests like it were running in several crashes. */
  forbidsRepeat (point: FailurePoint): boolean {
    return isConnectionAborted(point) && this.#ports.quarantine.isSuspected(this.#suspects)
  }

  /** Records that an endpoint of a version answered the request. */
  answered (version: EndpointVersion | undefined): void {
    this.#ports.quarantine.answered(this.#suspects, version)
  }

  /** Returns an attempt as the watch for crashes records it; `sentAtMs` is in milliseconds on the steady clock. */
  watchedRun (sentAtMs: number | undefined): WatchedRun & Pick<RequestWork, 'fingerprint'> {
    return { fingerprint: this.#work.fingerprint, parts: sharedParts(this.#work.demand), sentAtMs }
  }
}
