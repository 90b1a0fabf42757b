/** Sums up what all daemons run at each endpoint, so that each can know of the others. */
import type { DaemonId, EndpointId } from '../ids/index.ts'
import { addWork, noWork, type WorkLoad } from './work_load.ts'

/** What one daemon runs at one endpoint. */
export type EndpointWork = readonly [endpoint: EndpointId, load: WorkLoad]

interface Sheet { loads: ReadonlyMap<EndpointId, WorkLoad>, atMs: number }

/** A daemon that was not heard for this long is dead or parted; its work is gone or will show, in milliseconds. */
const SHEET_KEPT_MS = 1500

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
