export * from './revision.ts'
export * from './schema.ts'
export * from './validate.ts'
