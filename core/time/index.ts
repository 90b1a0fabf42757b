export * from './delay.ts'
