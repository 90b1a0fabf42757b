export * from './memory_ledger.ts'
export * from './memory_stock.ts'
export * from './open_allowance.ts'
