export * from './region_link_task.ts'
