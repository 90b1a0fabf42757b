/** Lets a test run fail at each error that a guarded task reports, as it does at an unhandled one. */
import { onTaskError } from '../daemon/tasks/index.ts'

/** Name of the task whose errors a test expects. */
const EXPECTED = 'an error that this test expects'

onTaskError((err, task) => { if (task !== EXPECTED) Promise.reject(new Error(`Error in the task ${task}`, { cause: err })) })
