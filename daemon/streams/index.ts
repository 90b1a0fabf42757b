export * from './stream_versions.ts'
