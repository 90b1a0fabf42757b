export * from './lease.ts'
