/** Steps of tasks whose errors end neither the task nor the process. */
import { reportTaskError } from './task_errors.ts'

/**
 * Returns a callback for a timer or an event that runs a step of a task. An error of the step, thrown or rejected, is reported with {@linkcode reportTaskError} and
 * costs that step alone: unhandled, it would end the process and all open requests, and again after each restart if its cause lies in stored data.
 */
export function guarded<A extends unknown[]> (task: string, step: (...args: A) => unknown): (...args: A) => void {
  return (...args) => {
    try {
      const result = step(...args)
      if (result instanceof Promise) result.catch((err: unknown) => reportTaskError(task, err))
    } catch (err) {
      reportTaskError(task, err)
    }
  }
}
