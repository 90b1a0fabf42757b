export * from './link_estimator.ts'
export * from './stream_move.ts'
