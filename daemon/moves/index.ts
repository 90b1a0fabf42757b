export * from './move_director.ts'
export * from './stream_mover.ts'
