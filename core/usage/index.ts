export * from './usage_ledger.ts'
