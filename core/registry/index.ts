export * from './lapsed_entries.ts'
