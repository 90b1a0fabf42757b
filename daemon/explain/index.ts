export * from './log_lines.ts'
export * from './explain_request.ts'
