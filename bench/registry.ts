/** Every bench by name. */
import type { Bench } from './bench.ts'
import { membershipBench } from './membership.ts'
import { onceBench } from './once.ts'
import { reclaimBench } from './reclaim.ts'
import { schedulesBench } from './schedules.ts'

/** All benches. */
export const BENCHES: readonly Bench[] = [membershipBench, onceBench, reclaimBench, schedulesBench]
