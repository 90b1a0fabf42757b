export * from './observed_limits.ts'
