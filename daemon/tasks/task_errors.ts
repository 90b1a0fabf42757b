/** Errors of tasks that no code expects. */
import { Counter } from 'prom-client'
import { shorten } from '../../core/bounds/index.ts'
import { log } from '../log/index.ts'

/** Counts unexpected errors of all tasks of the process, by task. */
export const taskErrors = new Counter({ name: 'verbenatiller_task_errors_total', help: 'Errors that no code expects, by the task whose step they ended', labelNames: ['task'], registers: [] })

const MAX_STACK_CHARS = 800
const listeners: Array<(err: unknown, task: string) => void> = []

/** Counts and logs an error that no code expects. The task goes on with its next step, in a state that the step may have left half changed. */
export function reportTaskError (task: string, err: unknown): void {
  taskErrors.inc({ task })
  log('task-failed', { task, why: shorten(err instanceof Error ? err.message : String(err)), stack: err instanceof Error ? shorten(err.stack ?? '', MAX_STACK_CHARS) : undefined })
  for (const listener of listeners) listener(err, task)
}

/** Registers a listener for unexpected errors, for tests, which have to fail at each. */
export function onTaskError (listener: (err: unknown, task: string) => void): void {
  listeners.push(listener)
}
