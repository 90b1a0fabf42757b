import { expect, test } from 'vitest'
import { createMetrics } from '../metrics.ts'
import { guarded, onTaskError, taskErrors } from './index.ts'

const expected = 'an error that this test expects'

test('an error of a step, thrown or rejected, is counted and reported, and does not reach the caller', async () => {
  const reported: unknown[] = []
  onTaskError((err, task) => { if (task === expected) reported.push(err) })
  guarded(expected, () => { throw new Error('thrown') })()
  guarded(expected, async () => { throw new Error('rejected') })()
  guarded(expected, () => { throw 'x'.repeat(1_000_000) })()
  await Promise.resolve()
  expect(reported).toHaveLength(3)
  expect((await taskErrors.get()).values).toContainEqual(expect.objectContaining({ labels: { task: expected }, value: 3 }))
  expect(await createMetrics().registry.metrics()).toContain(`verbenatiller_task_errors_total{task="${expected}"} 3`)
})
