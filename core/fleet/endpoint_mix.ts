/** How many endpoints of each kind a pool shall have in each failure domain. */
import type { Scaling } from '../catalog/index.ts'
import type { FailureDomain } from '../ids/index.ts'

/** Endpoints wanted in one failure domain. */
export interface DomainMix {
  failureDomain: FailureDomain
  onDemand: number
  reclaimable: number
}

/** Chooses the mix of a pool. */
export function fixedMix (scaling: Scaling, counts: { onDemand: number, reclaimable: number }): DomainMix[] {
  return [...scaling.pricePerS.keys()].map((failureDomain) => {
    const onDemand = Math.min(counts.onDemand, scaling.max)
    const reclaimable = scaling.reclaimableShare === undefined ? 0 : Math.min(counts.reclaimable, scaling.max - onDemand)
    return { failureDomain, onDemand, reclaimable }
  })
}
