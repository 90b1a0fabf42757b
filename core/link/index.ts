export * from './link_budget.ts'
export * from './queueing_delay.ts'
export * from './rate_controller.ts'
