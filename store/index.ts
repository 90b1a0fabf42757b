export * from './budgeted_store.ts'
export * from './http_store.ts'
export * from './object_store.ts'
export * from './sure_write.ts'
