import { expect, test } from 'vitest'
import { as, type DaemonId } from '../ids/index.ts'
import { KeeperSelector } from './keeper_selector.ts'

const [A, B, C, SELF] = ['a', 'b', 'c', 'self'].map((id) => as<DaemonId>(id)) as [DaemonId, DaemonId, DaemonId, DaemonId]
const RANKED = [A, B, C, SELF]

test('the highest-ranked daemon is selected while its messages arrive, and the next one once they stop', () => {
  const choice = new KeeperSelector(SELF)
  expect(choice.choose(RANKED, 0)).toBe(A)
  choice.recordHeartbeat(A, 500)
  expect(choice.choose(RANKED, 1200)).toBe(A)
  choice.recordHeartbeat(B, 1200)
  expect(choice.choose(RANKED, 1300)).toBe(B)
  choice.recordHeartbeat(A, 1400)
  expect(choice.choose(RANKED, 1400)).toBe(A)
})

test('daemons whose addresses refuse connections are skipped immediately, one after the other', () => {
  // Guards against callers that wait for several timeouts in a row after many daemons crashed at once.
  const choice = new KeeperSelector(SELF)
  expect(choice.choose(RANKED, 0)).toBe(A)
  choice.refused(A, 5)
  expect(choice.choose(RANKED, 5)).toBe(B)
  choice.refused(B, 10)
  expect(choice.choose(RANKED, 10)).toBe(C)
  choice.recordHeartbeat(B, 20)
  expect(choice.choose(RANKED, 20)).toBe(B)
})

test('a daemon that refused is tried again after a while, and a daemon that reaches none selects itself', () => {
  const choice = new KeeperSelector(SELF)
  for (const id of [A, B, C]) choice.refused(id, 0)
  expect(choice.choose(RANKED, 0)).toBe(SELF)
  expect(choice.choose(RANKED, 10_000)).toBe(A)
})
