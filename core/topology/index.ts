export * from './topology.ts'
