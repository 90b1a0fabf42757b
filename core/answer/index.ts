export * from './answer_buffer.ts'
