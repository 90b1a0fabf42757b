export * from './ids.ts'
