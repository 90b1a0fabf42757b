export * from './account_shares.ts'
export * from './judge.ts'
export * from './pressure_watch.ts'
export * from './work_rate.ts'
