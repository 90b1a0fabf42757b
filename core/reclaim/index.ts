export * from './baselines.ts'
export * from './joint_planner.ts'
export * from './problem.ts'
export * from './weights.ts'
