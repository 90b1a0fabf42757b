import { expect, test } from 'vitest'
import { placeInRegions } from '../../bench/regions.ts'

const DAEMONS = 67
/** Least in-time rate, as a fraction of that of a router that spreads requests over both regions. */
const LEAST_PART = 0.9

function place (shares: readonly [number, number], { ownFirst }: { ownFirst: boolean }): { crossed: number, inTime: number } {
  const results = placeInRegions({ seed: 1, daemons: DAEMONS, shares, ownFirst })
  const sum = (key: 'asked' | 'inTime' | 'crossed') => results.reduce((total, each) => total + each[key], 0)
  return { crossed: sum('crossed'), inTime: sum('inTime') / sum('asked') }
}

test('no request of many daemons leaves its region while that has room', () => {
  expect(place([0.9, 0.9], { ownFirst: true }).crossed).toBe(0)
}, 60_000)

test('many daemons of a region with twice its load serve nearly as much in time as if they spread it', () => {
  // Guards against daemons of a full region that all choose the endpoint that seems free by reports that are out of date.
  expect(place([2, 0.3], { ownFirst: true }).inTime).toBeGreaterThan(place([2, 0.3], { ownFirst: false }).inTime * LEAST_PART)
}, 60_000)
