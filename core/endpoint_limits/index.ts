export * from './observed_limits.ts'
export * from './permit_allocator.ts'
export * from './permit_stock.ts'
export * from './slot_ledger.ts'
