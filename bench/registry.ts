/** Every bench by name. */
import type { Bench } from './bench.ts'
import { onceBench } from './once.ts'
import { reclaimBench } from './reclaim.ts'

/** All benches. */
export const BENCHES: readonly Bench[] = [onceBench, reclaimBench]
