/** Registry of all benchmarks. */
import type { Bench } from './bench.ts'
import { costBench } from './cost.ts'
import { endpointLimitsBench } from './endpoint_limits.ts'
import { limitsBench } from './limits.ts'
import { membershipBench } from './membership.ts'
import { onceBench } from './once.ts'
import { overheadBench } from './overhead.ts'
import { placingBench } from './placing.ts'
import { processorBench } from './processor.ts'
import { quarantineBench } from './quarantine.ts'
import { reclaimBench } from './reclaim.ts'
import { regionLinkBench } from './region_link.ts'
import { regionsBench } from './regions.ts'
import { rolloutBench } from './rollout.ts'
import { routeBench } from './route.ts'
import { scarcityBench } from './scarcity.ts'
import { schedulesBench } from './schedules.ts'
import { storeBench } from './store.ts'
import { waveBench } from './wave.ts'

/** All benchmarks, in the order in which they are listed. */
export const BENCHES: readonly Bench[] = [costBench, endpointLimitsBench, limitsBench, membershipBench, onceBench, overheadBench, placingBench, processorBench, quarantineBench, reclaimBench, regionLinkBench, regionsBench, rolloutBench, routeBench, scarcityBench, schedulesBench, storeBench, waveBench]
