export * from './answer_buffer.ts'
export * from './answer_head.ts'
