export * from './claim.ts'
export * from './shard_head.ts'
