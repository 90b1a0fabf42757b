export * from './delay.ts'
export * from './steady_now.ts'
