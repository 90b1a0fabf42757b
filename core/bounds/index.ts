export * from './excerpt.ts'
export * from './limit_depth.ts'
export * from './is_deeper.ts'
export * from './forms.ts'
