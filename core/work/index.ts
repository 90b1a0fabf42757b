export * from './demand.ts'
export * from './work_class.ts'
