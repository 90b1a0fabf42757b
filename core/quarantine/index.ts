export * from './fingerprint.ts'
