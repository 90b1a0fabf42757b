export * from './outcome.ts'
