export * from './bench.ts'
export * from './registry.ts'
