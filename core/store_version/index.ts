export * from './store_version.ts'
