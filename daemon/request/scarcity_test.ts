import { expect, test } from 'vitest'
import { overload, PATTERNS, replayPattern, worthServed, type Pattern, type Way } from '../../bench/scarcity.ts'

// Guards against overload in which every request is accepted and late, so that the endpoints work at capacity and nearly nobody is served in time.

const SEED = 1
/** Least gain in worth over the other ways. */
const LEAST_GAIN = 1.15
/** Least part of an account's requests that is served in time, as a fraction of the mean of its class. */
const LEAST_OF_MEAN = 1 / 3
const WAYS_BEFORE: readonly Way[] = ['first come, first served', 'priority with ageing', 'worth for each unit of work', 'fair queue']

function replay (pattern: Pattern, daemons: number, way: Way = 'fair queue and gate') {
  const classes = replayPattern(pattern, { seed: SEED, daemons, way })
  return { classes, worth: worthServed([...classes.values()]) }
}

test.each([[2, 68], [4, 9], [4, 68]])('at %d times the room, %d daemons serve more worth than by any order of the queue, and refuse at once', (times, daemons) => {
  const { classes, worth } = replay(overload(times), daemons)
  for (const way of WAYS_BEFORE) expect(worth, way).toBeGreaterThan(replay(overload(times), daemons, way).worth * LEAST_GAIN)
  const held = [...classes.values()].reduce((sum, { heldThenRefused }) => sum + heldThenRefused, 0)
  const refused = [...classes.values()].reduce((sum, { refusedByDaemon }) => sum + refusedByDaemon, 0)
  expect(refused).toBeGreaterThan(0)
  expect(held).toBe(0)
}, 120_000)

test.each([[1.5, 9], [1.5, 68], [2, 9]])('at %d times the room, %d daemons serve no less worth than by any order of the queue', (times, daemons) => {
  const { worth } = replay(overload(times), daemons)
  for (const way of WAYS_BEFORE) expect(worth, way).toBeGreaterThan(replay(overload(times), daemons, way).worth)
}, 120_000)

test.each([9, 68])('at a light load %d daemons serve each request as without the gate', (daemons) => {
  const withGate = replay(overload(0.7), daemons)
  expect(withGate.classes).toEqual(replay(overload(0.7), daemons, 'fair queue').classes)
}, 60_000)

test.each([1.5, 2])('at %d times the room no account is left far behind the others', (times) => {
  for (const daemons of [9, 68]) {
    for (const [name, { byAccount }] of replay(overload(times), daemons).classes) {
      const parts = [...byAccount.values()].map(({ asked, inTime }) => inTime / asked)
      const mean = parts.reduce((sum, part) => sum + part, 0) / parts.length
      expect(Math.min(...parts), `${name}, ${daemons} daemons`).toBeGreaterThan(mean * LEAST_OF_MEAN)
    }
  }
}, 120_000)

test.each([9, 68])('while one account sends several times its usual, %d daemons serve the others more than it', (daemons) => {
  const pattern = PATTERNS.find(({ name }) => name.startsWith('an account'))!
  for (const { byAccount } of replay(pattern, daemons).classes.values()) {
    const partOf = (accounts: readonly string[]) => {
      const results = accounts.map((account) => byAccount.get(account)!)
      return results.reduce((sum, { inTime }) => sum + inTime, 0) / results.reduce((sum, { asked }) => sum + asked, 0)
    }
    const others = [...byAccount.keys()].filter((account) => account !== 'account-0')
    expect(partOf(others)).toBeGreaterThan(partOf(['account-0']))
  }
}, 60_000)
