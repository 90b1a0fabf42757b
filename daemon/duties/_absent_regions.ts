/** Knows from which regions most daemons are out of contact. */
import type { Region } from '../../core/ids/index.ts'
import type { Member } from '../../core/membership/index.ts'
import type { DemandGroup, DemandTopology } from './_demand_groups.ts'

/** Options of {@linkcode AbsentRegions}. */
export interface AbsentRegionsOptions {
  topology: DemandTopology | undefined
  /** Daemons that are known, lost ones included. */
  members (): Iterable<Pick<Member, 'failureDomain' | 'state'>>
}

/** Time after the daemons of a region return until all their totals have arrived, in milliseconds. */
const RETURN_MS = 5000

/** Tells which groups' demand is not counted, since most daemons of their regions are missing or have just returned. */
export class AbsentRegions {
  readonly #options: AbsentRegionsOptions
  /** By the key of a group: true while most of its daemons are missing. */
  readonly #absent = new Map<string, boolean>()
  readonly #returnedAtMs = new Map<string, number>()

  constructor (options: AbsentRegionsOptions) {
    this.#options = options
  }

  /** Returns true while the demand of a group is not known. Must be called regularly. */
  isAbsent ({ key, isWhole, regions }: DemandGroup, now: number): boolean {
    if (isWhole) return false
    const wasAbsent = this.#absent.get(key) ?? false
    const isAbsent = this.#areMostMissing(regions, wasAbsent)
    this.#absent.set(key, isAbsent)
    if (wasAbsent && !isAbsent) this.#returnedAtMs.set(key, now)
    return isAbsent || now - (this.#returnedAtMs.get(key) ?? -Infinity) < RETURN_MS
  }

  #areMostMissing (regions: readonly (Region | undefined)[], wasAbsent: boolean): boolean {
    const { topology, members } = this.#options
    let present = 0
    let missing = 0
    for (const { failureDomain, state } of members()) {
      if (state === 'left' || !regions.includes(topology?.regionOf(failureDomain))) continue
      if (state === 'suspect' || state === 'gone') missing++
      else present++
    }
    // Records of lost daemons expire.
    return present === 0 ? missing > 0 || wasAbsent : missing > present
  }
}
