export * from './back_offs.ts'
export * from './ejection.ts'
export * from './retry_budget.ts'
export * from './window_budget.ts'
