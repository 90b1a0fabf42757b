export * from './caller_status.ts'
export * from './outcome.ts'
