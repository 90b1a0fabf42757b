/** Gossips a new era of the store to all daemons, whichever noticed it first. */
import type { EraTracker } from '../../store/index.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import type { MembershipTask } from './membership_task.ts'

/** Options of {@linkcode shareStoreEra}. */
export interface ShareStoreEraOptions {
  membership: Pick<MembershipTask, 'onFact' | 'publishFact'>
  metrics: Pick<Metrics, 'storeReturns'>
}

const FACT_KEY = 'store-era'

/**
 * Shares the era of the store between this daemon and the others, and logs and counts its rises.
 *
 * The store may refuse most daemons after its return; they learn of the new era from the others, and ask them for its state.
 */
export function shareStoreEra (era: EraTracker, { membership, metrics }: ShareStoreEraOptions): void {
  membership.onFact(({ key, version }, from) => { if (key === FACT_KEY) era.learn(version, from) })
  era.onRise((rise) => {
    metrics.storeReturns.inc(rise.era - rise.before)
    log('store-returned', { ...rise })
    membership.publishFact({ key: FACT_KEY, version: rise.era, value: null })
  })
}
