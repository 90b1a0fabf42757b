export * from './detector.ts'
export * from './member.ts'
export * from './membership.ts'
export * from './overlay.ts'
