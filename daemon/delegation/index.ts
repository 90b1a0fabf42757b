export * from './delegate_finder.ts'
export * from './delegate_server.ts'
export * from './delegated_runs.ts'
