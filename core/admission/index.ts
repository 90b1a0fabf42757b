export * from './fair_queue.ts'
