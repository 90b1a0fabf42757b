import { afterEach, beforeEach, expect, test } from 'vitest'
import { Session, sessionConfig, type Kind } from '../../bench/_session.ts'

let session: Session

beforeEach(async () => { session = await Session.start(12) })
afterEach(async () => {
  await Promise.all(session.daemons.map((daemon) => daemon.kill()))
  session.stop()
})

let serial = 0
function submit (which: number, kind: Kind, key = `k${serial++}`): void {
  const model = kind === 'review' || kind === 'letter'
  session.submit(session.daemons[which]!, { kind, key, input: `${key} `.padEnd(400, 'x'), maxTokens: model ? 80 : 1 })
}

test('partitioned regions keep serving for minutes, and converge after the partition heals', async () => {
  // During a partition each region takes the other for gone. Each must answer its callers, neither may run a letter that the other ran, and
  // after the partition heals all daemons must know each other again, with one configuration in force.
  const [a, b, c] = session.daemons.map((daemon) => daemon.id) as [never, never, never]
  submit(0, 'letter', 'shared')
  await session.advance(500)
  session.network.part(a, b, true)
  session.network.part(a, c, true)
  const applying = session.daemons[1]!.config.apply({ ...sessionConfig(), wantsLeast: 'cost' }, { operator: 'op' })
  for (let minute = 0; minute < 3; minute++) {
    for (const kind of ['review', 'letter', 'check', 'confirm'] as const) for (const which of [0, 1, 2]) submit(which, kind)
    await session.advance(60_000)
  }
  await applying
  // Both sides can reach the store, which they poll every minute.
  expect(session.daemons.map((daemon) => daemon.config.inForce?.revision)).toEqual([2, 2, 2])
  expect(session.daemons[0]!.membership.core.member(b)!.state).toBe('gone')
  session.network.healPartitions()
  await session.advance(60_000)
  for (const daemon of session.daemons) expect(daemon.membership.core.members.map((member) => member.state)).toEqual(['up', 'up', 'up'])
  expect(session.callers.filter(({ outcome }) => outcome !== 'answered')).toEqual([])
  expect(session.violations()).toEqual([])
})

test('a request sent to both regions with the same key during a partition runs once', async () => {
  // A caller times out at one region and resends its request to the other, which cannot reach the first. This works because claims on keys
  // are kept in the store.
  const [a, b, c] = session.daemons.map((daemon) => daemon.id) as [never, never, never]
  session.network.part(a, b, true)
  session.network.part(a, c, true)
  await session.advance(20_000)
  submit(0, 'letter', 'same')
  submit(1, 'letter', 'same')
  await session.advance(40_000)
  expect(session.callers.map(({ outcome }) => outcome)).toContain('answered')
  expect(session.violations()).toEqual([])
})
