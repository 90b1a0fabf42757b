export * from './endpoint_view.ts'
export * from './prefix_index.ts'
export * from './router.ts'
export * from './subset.ts'
