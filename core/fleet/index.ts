export * from './hysteresis.ts'
export * from './plan_fleet.ts'
export * from './reclaim_risk.ts'
export * from './demand.ts'
