export * from './lifecycle.ts'
export * from './overdue.ts'
