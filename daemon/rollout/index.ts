export * from './rollout_follower.ts'
export * from './rollout_port.ts'
export * from './rollout_task.ts'
export * from './version_gate.ts'
