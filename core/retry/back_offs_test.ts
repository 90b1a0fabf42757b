import { expect, test } from 'vitest'
import { as, type EndpointId } from '../ids/index.ts'
import { BackOffs } from './index.ts'

const A = as<EndpointId>('a')

test('a back-off lasts as long as the longest time that the endpoint asked for', () => {
  // Guards against requests that come too early since a refusal that was under way asked for less.
  const backOffs = new BackOffs()
  expect([backOffs.record(A, 5000, 0), backOffs.record(A, 1200, 200), backOffs.record(A, 5000, 300)]).toEqual(['began', undefined, undefined])
  expect([backOffs.record(A, 6000, 4000), backOffs.untilMs(A)]).toEqual(['extended', 6000])
  expect([backOffs.record(A, 6500, 6000), backOffs.untilMs(A)]).toEqual(['began', 6500])
})

test('a back-off that has ended is removed', () => {
  const backOffs = new BackOffs()
  backOffs.record(A, 5000, 0)
  backOffs.prune(4999)
  expect(backOffs.untilMs(A)).toBe(5000)
  backOffs.prune(5000)
  expect(backOffs.untilMs(A)).toBe(0)
})
