/** Sums up what all daemons run at each endpoint, so that each can know of the others. */
import type { DaemonId, EndpointId } from '../ids/index.ts'
import { addWork, noWork, type WorkLoad } from './work_load.ts'

/** What one daemon runs at one endpoint. */
export type EndpointWork = readonly [endpoint: EndpointId, load: WorkLoad]

interface Sheet { loads: ReadonlyMap<EndpointId, WorkLoad>, atMs: number }

/** A daemon that was not heard for this long is dead or parted; its work is gone or will show, in milliseconds. */
const SHEET_KEPT_MS = 1500

/** Between two reports of a small fleet, in milliseconds: a fraction of the time that an engine takes for a long prompt. */
const REPORT_MS = 100
/**
 * Reports grow rarer with the fleet, so that the daemon that sums up hears at most 333 a second, on one of the strongest hosts. At 420 daemons one comes each 1.26 s,
 * within the time that what was told of others is believed: with 5 ms daemons of such a fleet would know nothing of the others for a quarter of the time.
 */
const REPORT_MS_PER_DAEMON = 3

/** Time between two reports of a daemon's work, in milliseconds. */
export function reportIntervalMs (daemons: number): number {
  return Math.max(REPORT_MS, daemons * REPORT_MS_PER_DAEMON)
}

/** Keeps the last word of each daemon. */
export class LoadBoard {
  readonly #sheets = new Map<DaemonId, Sheet>()

  /** Takes in what a daemon runs, all of it. */
  report (daemon: DaemonId, loads: readonly EndpointWork[], now: number): void {
    this.#sheets.set(daemon, { loads: new Map(loads), atMs: now })
  }

  /** What the daemons but one run, by endpoint. */
  othersOf (daemon: DaemonId, now: number): EndpointWork[] {
    const sums = new Map<EndpointId, WorkLoad>()
    for (const [id, sheet] of this.#sheets) {
      if (now - sheet.atMs > SHEET_KEPT_MS) this.#sheets.delete(id)
      else if (id !== daemon) for (const [endpoint, load] of sheet.loads) sums.set(endpoint, addWork(sums.get(endpoint) ?? noWork(), load))
    }
    return [...sums]
  }
}
