export * from './delegate_selector.ts'
