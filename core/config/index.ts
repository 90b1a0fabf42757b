export * from './class_of.ts'
export * from './revision.ts'
export * from './schema.ts'
export * from './validate.ts'
