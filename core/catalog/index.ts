export * from './token_quota.ts'
export * from './catalog.ts'
export * from './route_table.ts'
export * from './urgency.ts'
