import { afterEach, beforeEach, expect, test } from 'vitest'
import { Session } from '../../bench/_session.ts'
import { RefusedError } from '../request/broker.ts'

let session: Session

beforeEach(async () => { session = await Session.start(8) })
afterEach(async () => {
  await Promise.all(session.daemons.map((daemon) => daemon.kill()))
  session.stop()
})

test('a stream that is queued when its daemon drains continues at another daemon', async () => {
  // Guards against a truncated answer: the stream's host was reclaimed, no other host had a free slot, and its daemon was drained before one
  // had. Only streams running at an endpoint were handed over, because a queued one has no endpoint to read it from.
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

test('a caller that follows another daemon\'s answer is redirected on a drain, not disconnected', async () => {
  // Guards against a connection that breaks in the middle of an answer: the caller reads it through a daemon that does not run the request,
  // and that daemon drains.
  const letter = session.submit(session.daemons[1]!, { kind: 'letter', key: 'k', input: 'letter', maxTokens: 400 })
  await session.advance(500)
  const [running] = [...session.daemons[1]!.broker.open]
  const followed = session.daemons[0]!.broker.find(running!.id, running!.work.account)!
  await session.advance(500)
  expect(followed.started).toBe(true)
  session.drain(session.daemons[0]!)
  await session.advance(9000)
  expect(followed.movedAway).toBe(true)
  expect(letter.outcome).toBeUndefined()
})

test('a draining daemon that has no heir serves its streams until the drain time ends', async () => {
  const [last, ...others] = session.daemons
  for (const daemon of others) await session.kill(daemon)
  await session.advance(15_000)
  const review = session.submit(last!, { kind: 'review', key: 'r', input: 'review', maxTokens: 150 })
  session.drain(last!)
  await session.advance(8000)
  expect(review.outcome).toBe('answered')
})

test('a draining daemon accepts requests until the balancer has had time to notice, and then refuses them', async () => {
  const draining = session.daemons[0]!
  session.drain(draining)
  const submit = () => draining.broker.submit({ account: 'account' as never, className: 'check', input: 'x', maxTokens: 1, idempotencyKey: undefined })
  expect(() => submit()).not.toThrow()
  await session.advance(2000)
  expect(submit).toThrow(RefusedError)
})

test('a daemon that is told to drain twice drains once', async () => {
  const [daemon] = session.daemons
  expect(daemon!.drain()).toBe(daemon!.drain())
  await session.advance(9000)
  await expect(daemon!.left).resolves.toBeUndefined()
})
