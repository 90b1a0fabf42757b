export * from './allowed_work.ts'
export * from './catalog.ts'
export * from './route_table.ts'
export * from './urgency.ts'
