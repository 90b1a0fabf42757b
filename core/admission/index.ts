export * from './connection_gate.ts'
export * from './fair_queue.ts'
