/** Every bench by name. */
import type { Bench } from './bench.ts'
import { reclaimBench } from './reclaim.ts'

/** All benches. */
export const BENCHES: readonly Bench[] = [reclaimBench]
