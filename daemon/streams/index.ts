export * from './pool_history.ts'
export * from './stream_versions.ts'
export * from './record_archive.ts'
