export * from './byte_collector.ts'
export * from './answer_window.ts'
export * from './eviction.ts'
export * from './memory_account.ts'
