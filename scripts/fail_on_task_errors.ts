/** Lets a test run fail at each error that a guarded task reports, as it does at an unhandled one. */
import { onTaskError } from '../daemon/tasks/index.ts'

/** Errors of the tasks that a test names here are expected, and collected. */
export const expectedErrors = new Map<string, unknown[]>()

onTaskError((err, task) => {
  const expected = expectedErrors.get(task)
  if (expected) expected.push(err)
  else Promise.reject(new Error(`Error in the task ${task}`, { cause: err }))
})
