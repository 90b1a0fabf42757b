import { expect, test } from 'vitest'
import { simulatePlacement, type SimulatedClass, type ClassResults } from '../../bench/_placing.ts'

// Guards against many daemons sending to the same endpoint at once, because the load reports they choose by do not include each other's latest requests.

const ENGINE = { slots: 12, queue: 25, readTokensPerMs: 125, firstMs: 62, pieceMs: 30, pieceMsPerRequest: 0.75 }
const ENGINES = 27
const SEEDS = [1, 2, 3]
/** Least in-time rate of a fleet of any size, as a fraction of the rate with nine daemons. */
const LEAST_PART = 0.9

/** Multiples of the load that uses two thirds of the engines' capacity. */
const LOADS = [1.4, 1.5]

function classesOf (times: number): SimulatedClass[] {
  return [
    { name: 'review', perS: 60 * times, urgent: false, uniqueTokens: 6600, sharedTokens: 5400, subjects: 400, pieces: 42, firstTokenMs: 800, deadlineMs: 12_000, maxAttempts: 2 },
    { name: 'letter', perS: 361 * times, urgent: true, uniqueTokens: 1800, sharedTokens: 570, subjects: 3700, pieces: 2.5, firstTokenMs: 500, deadlineMs: 2500, maxAttempts: 1 }
  ]
}

/** Returns the fraction of each class's requests whose first token came in time, over all seeds. */
function inTime (fleet: { daemons: number, times: number }): Record<string, number> {
  const days = SEEDS.map((seed) => simulatePlacement({ ...fleet, seed, engines: ENGINES, engine: ENGINE, classes: classesOf(fleet.times), spanMs: 20_000, warmupMs: 2000 }))
  const sum = (name: string, of: (figures: ClassResults) => number) => days.reduce((total, day) => total + of(day.get(name)!), 0)
  return Object.fromEntries(['review', 'letter'].map((name) => [name, sum(name, (f) => f.inTime) / sum(name, (f) => f.asked)]))
}

const withNine = new Map(LOADS.map((times) => [times, inTime({ daemons: 9, times })]))

test.each([83, 195, 420])('%d daemons serve nearly as much of a heavy load in time as nine do', (daemons) => {
  for (const times of LOADS) {
    const few = withNine.get(times)!
    const many = inTime({ daemons, times })
    for (const name of ['review', 'letter']) expect(many[name], `${name} at ${times} times the load, ${few[name]} with nine daemons`).toBeGreaterThan(few[name]! * LEAST_PART)
  }
}, 240_000)
