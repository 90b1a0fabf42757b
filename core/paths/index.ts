export * from './path.ts'
