export * from './ejection.ts'
export * from './retry_budget.ts'
