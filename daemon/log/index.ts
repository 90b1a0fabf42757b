export * from './events.ts'
export * from './line_budget.ts'
export * from './log.ts'
export * from './describe.ts'
