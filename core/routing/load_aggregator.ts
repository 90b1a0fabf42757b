/** Aggregates the load that all daemons put on each endpoint, so that each daemon learns the load of the others. */
import type { DaemonId, EndpointId } from '../ids/index.ts'
import { addWork, LANES, noWork, type WorkLoad } from './work_load.ts'

/** Work of one daemon at one endpoint. */
export type EndpointWork = readonly [endpoint: EndpointId, load: WorkLoad]

/** Last report of one daemon. */
interface WorkReport { loads: ReadonlyMap<EndpointId, WorkLoad>, atMs: number }

/** Age at which a daemon's report expires, in milliseconds. The daemon is dead or partitioned by then; its work is gone or will show otherwise. */
const REPORT_EXPIRY_MS = 1500

/** Interval between reports in a small fleet, in milliseconds: a fraction of the time that an engine takes to prefill a long prompt. */
const SMALL_FLEET_REPORT_MS = 100
/** Maximum number of daemons in a small fleet, where the aggregating daemon can handle frequent reports. */
const SMALL_FLEET_MAX_DAEMONS = 33
/**
 * Interval between reports in a larger fleet, in milliseconds. Reports are sent together with the votes for the aggregating daemon and need no messages of
 * their own. With longer intervals the load would be too old to route by, at endpoints with a dozen batch slots.
 */
const LARGE_FLEET_REPORT_MS = 300

/** Returns the interval between two reports of a daemon's work, in milliseconds. */
export function reportIntervalMs (daemons: number): number {
  return daemons > SMALL_FLEET_MAX_DAEMONS ? LARGE_FLEET_REPORT_MS : SMALL_FLEET_REPORT_MS
}

/** Interval between two checks for expired reports, in milliseconds. */
const SWEEP_INTERVAL_MS = 250

/**
 * Keeps the last report of each daemon and the sums over all daemons.
 *
 * Sums are updated incrementally. If they were recomputed for each query, the cost for the aggregating daemon would grow with the square of the number of
 * daemons.
 */
export class LoadAggregator {
  readonly #reports = new Map<DaemonId, WorkReport>()
  readonly #sums = new Map<EndpointId, WorkLoad>()
  #sweptAtMs = -Infinity

  /** Replaces the report of a daemon by its complete current work. */
  report (daemon: DaemonId, loads: readonly EndpointWork[], now: number): void {
    this.#removeReport(daemon)
    // Work may have ended since it was listed. Sums exist only for endpoints with work.
    const nonEmpty = loads.filter(([, load]) => !isEmpty(load))
    this.#reports.set(daemon, { loads: new Map(nonEmpty.map(([endpoint, load]) => [endpoint, addWork(noWork(), load)])), atMs: now })
    for (const [endpoint, load] of nonEmpty) this.#sums.set(endpoint, addWork(this.#sums.get(endpoint) ?? noWork(), load))
  }

  /** Returns the work of all daemons except one, by endpoint. */
  loadsOfOthers (daemon: DaemonId, now: number): EndpointWork[] {
    this.#sweep(now)
    const ownLoads = this.#reports.get(daemon)?.loads
    return [...this.#sums].map(([endpoint, sum]) => {
      const others = addWork(noWork(), sum)
      const ownLoad = ownLoads?.get(endpoint)
      return [endpoint, ownLoad ? addWork(others, ownLoad, -1) : others]
    })
  }

  #sweep (now: number): void {
    if (now - this.#sweptAtMs < SWEEP_INTERVAL_MS) return
    this.#sweptAtMs = now
    for (const [daemon, { atMs }] of this.#reports) if (now - atMs > REPORT_EXPIRY_MS) this.#removeReport(daemon)
  }

  #removeReport (daemon: DaemonId): void {
    const report = this.#reports.get(daemon)
    if (!report) return
    this.#reports.delete(daemon)
    for (const [endpoint, load] of report.loads) {
      const sum = addWork(this.#sums.get(endpoint)!, load, -1)
      if (isEmpty(sum)) this.#sums.delete(endpoint)
    }
  }
}

function isEmpty ({ running, unread, heldTokens = 0 }: WorkLoad): boolean {
  return running === 0 && heldTokens === 0 && LANES.every((lane) => unread[lane] === 0)
}
