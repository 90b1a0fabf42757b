export * from './keeper_selector.ts'
export * from './quota.ts'
export * from './shared_bucket.ts'
export * from './quota_keeper.ts'
