export * from './departures.ts'
export * from './lapsed_entries.ts'
export * from './newest_starts.ts'
