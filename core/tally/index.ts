export * from './tally.ts'
