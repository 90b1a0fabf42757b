export * from './quota.ts'
export * from './shared_bucket.ts'
export * from './quota_keeper.ts'
