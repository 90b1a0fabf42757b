export * from './change_sources.ts'
