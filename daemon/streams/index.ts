export * from './pool_history.ts'
export * from './stream_versions.ts'
