import { expect, test } from 'vitest'
import { expectedErrors } from '../../scripts/fail_on_task_errors.ts'
import { createMetrics } from '../metrics.ts'
import { guarded, taskErrors } from './index.ts'

test('an error of a step, thrown or rejected, is counted and reported, and does not reach the caller', async () => {
  const task = 'under-test'
  expectedErrors.set(task, [])
  guarded(task, () => { throw new Error('thrown') })()
  guarded(task, async () => { throw new Error('rejected') })()
  guarded(task, () => { throw 'x'.repeat(1_000_000) })()
  await Promise.resolve()
  expect(expectedErrors.get(task)).toHaveLength(3)
  expect((await taskErrors.get()).values).toContainEqual(expect.objectContaining({ labels: { task }, value: 3 }))
  expect(await createMetrics().registry.metrics()).toContain(`verbenatiller_task_errors_total{task="${task}"} 3`)
})
