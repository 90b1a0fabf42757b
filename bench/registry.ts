/** Registry of all benchmarks. */
import type { Bench } from './bench.ts'
import { costBench } from './cost.ts'
import { endpointLimitsBench } from './endpoint_limits.ts'
import { limitsBench } from './limits.ts'
import { membershipBench } from './membership.ts'
import { onceBench } from './once.ts'
import { overheadBench } from './overhead.ts'
import { placingBench } from './placing.ts'
import { quarantineBench } from './quarantine.ts'
import { reclaimBench } from './reclaim.ts'
import { routeBench } from './route.ts'
import { rolloutBench } from './rollout.ts'
import { schedulesBench } from './schedules.ts'
import { slowReadersBench } from './slow_readers.ts'
import { storeBench } from './store.ts'
import { waveBench } from './wave.ts'

/** All benchmarks, in the order in which they are listed. */
export const BENCHES: readonly Bench[] = [costBench, endpointLimitsBench, limitsBench, membershipBench, onceBench, overheadBench, placingBench, quarantineBench, reclaimBench, rolloutBench, routeBench, schedulesBench, slowReadersBench, storeBench, waveBench]
