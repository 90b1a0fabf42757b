export * from './guarded.ts'
export * from './task_errors.ts'
