import { afterEach, beforeEach, expect, test } from 'vitest'
import { Session } from '../bench/_session.ts'
import { RefusedError } from './broker.ts'

let session: Session

beforeEach(async () => { session = await Session.start(8) })
afterEach(async () => {
  await Promise.all(session.daemons.map((daemon) => daemon.kill()))
  session.stop()
})

test('a stream that waits for room when its daemon leaves is carried on elsewhere', async () => {
  // A review is cut: its host was reclaimed, nowhere else had room, and before there was some its daemon was drained. A stream that runs
  // nowhere has no endpoint to be read from, and only running ones were handed over.
  for (let i = 0; i < 9; i++) session.submit(session.daemons[i % 3]!, { kind: 'review', key: `r${i}`, input: `r${i} `.padEnd(400, 'x'), maxTokens: 250 })
  await session.advance(1500)
  session.cloud.reclaim(session.cloud.live().filter((host) => host.endpoint.pool === 'models').map((host) => host.hostId), 2000)
  await session.advance(2500)
  const waiting = [...session.daemons[0]!.broker.open].filter((task) => task.state.phase === 'placing' && task.state.mayHaveRun)
  expect(waiting.length).toBeGreaterThan(0)
  session.drain(session.daemons[0]!)
  await session.advance(12_000)
  for (const domain of 'abc') await session.startHost('models', domain)
  await session.advance(60_000)
  expect(session.callers.filter(({ outcome }) => outcome === 'unknown' || outcome === undefined)).toEqual([])
  expect(session.violations()).toEqual([])
})

test('a draining daemon refuses new work truthfully, once the balancer had time to see it', async () => {
  const draining = session.daemons[0]!
  session.drain(draining)
  const submit = () => draining.broker.submit({ account: 'account' as never, className: 'check', input: 'x', maxTokens: 1, idempotencyKey: undefined })
  expect(() => submit()).not.toThrow()
  await session.advance(2000)
  expect(submit).toThrow(RefusedError)
})

test('told twice to stop, a daemon drains once', async () => {
  const [daemon] = session.daemons
  expect(daemon!.drain()).toBe(daemon!.drain())
  await session.advance(9000)
})
