export * from './crash_confirmer.ts'
export * from './crash_watch.ts'
export * from './quarantine_archive.ts'
export * from './quarantine_task.ts'
