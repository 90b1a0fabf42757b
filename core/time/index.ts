export * from './delay.ts'
export * from './steady_now.ts'
export * from './shared_clock.ts'
export * from './waiters.ts'
