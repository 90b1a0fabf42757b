export * from './stream_origins.ts'
