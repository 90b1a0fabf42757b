export * from './lifecycle.ts'
