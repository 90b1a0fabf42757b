export * from './connection_gate.ts'
export * from './drain_admission.ts'
export * from './fair_queue.ts'
