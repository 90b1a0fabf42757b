export * from './departures.ts'
export * from './lapsed_entries.ts'
