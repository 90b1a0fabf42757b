export * from './path_watch.ts'
