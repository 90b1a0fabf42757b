export * from './account_limit.ts'
export * from './memory_guard.ts'
