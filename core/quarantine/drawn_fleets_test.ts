// Guards against a rule that finds bad prompt parts in the cases it was made for, and holds sound ones in others.
import { expect, test } from 'vitest'
import { seededRandom } from '../../daemon/seeded_random.ts'
import { playDrawnFleet } from '../../bench/_drawn_fleet.ts'

/** Requests with a part that may reach endpoints later than 3 s after its fifth crash. */
const MAX_LATE_BAD = 3

function play (daemons: number, badParts: number, seeds: number) {
  return Array.from({ length: seeds }, (_, seed) => playDrawnFleet({ daemons, badParts, random: seededRandom(seed * 7 + daemons) }))
}

test.each([9, 87, 195, 420])('crashes that no request causes hold no part at the end, at %d daemons', (daemons) => {
  expect(play(daemons, 0, 40).map(({ soundHeldAtEnd }) => soundHeldAtEnd)).toEqual(Array(40).fill(0))
})

test.each([9, 87, 195, 420])('a bad part is held in time, and no sound one at the end, at %d daemons', (daemons) => {
  const results = play(daemons, 1, 30)
  expect(results.map(({ lateBad }) => lateBad).filter((late) => late > MAX_LATE_BAD)).toEqual([])
  expect(results.map(({ soundHeldAtEnd }) => soundHeldAtEnd)).toEqual(Array(30).fill(0))
  expect(results.filter(({ crashesUntilHeld: [crashes] }) => crashes === undefined)).toEqual([])
}, 30_000)
