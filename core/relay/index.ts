export * from './news_sources.ts'
