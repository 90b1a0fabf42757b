export * from './quota.ts'
export * from './shared_bucket.ts'
