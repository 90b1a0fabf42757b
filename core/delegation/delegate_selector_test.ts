import { expect, test } from 'vitest'
import xxhash from 'xxhash-wasm'
import { as, type DaemonId, type FailureDomain, type PoolName, type Region } from '../ids/index.ts'
import { RegionTopology } from '../topology/index.ts'
import { DelegateSelector, type DelegateCandidate } from './index.ts'

const { h32 } = await xxhash()
const hash = (text: string) => h32(text)
const POOL = as<PoolName>('p')
const OFFER = { room: 4, activityAgeMs: 100 }

/** Daemons spread over four failure domains. */
function fleet (size: number): DelegateCandidate[] {
  return Array.from({ length: size }, (_, i) => ({ id: as<DaemonId>(`d${i}`), failureDomain: as<FailureDomain>(`z${i % 4}`) }))
}

function selectorOf ({ id, failureDomain }: DelegateCandidate): DelegateSelector {
  return new DelegateSelector({ self: id, failureDomain, hash })
}

test('daemons of the own failure domain are selected first, each up to the room that it offers', () => {
  const [self, near, far] = [0, 4, 1].map((i) => fleet(8)[i]!) as [DelegateCandidate, DelegateCandidate, DelegateCandidate]
  const selector = selectorOf(self)
  selector.recordOffer(POOL, far, OFFER, 0)
  selector.recordOffer(POOL, near, { room: 2, activityAgeMs: 100 }, 0)
  const picked = Array.from({ length: 7 }, () => {
    const to = selector.pick(POOL, { avoid: [] }, 10)
    if (to) selector.started(to.id)
    return to?.id
  })
  expect(picked).toEqual([near.id, near.id, far.id, far.id, far.id, far.id, undefined])
  selector.ended(near.id)
  expect(selector.pick(POOL, { avoid: [] }, 10)).toEqual({ id: near.id, inFlight: 1, offerAgeMs: 10, activityAgeMs: 110 })
  expect(selector.pick(POOL, { avoid: [near.id] }, 10)).toBeUndefined()
})

test('an offer that is not renewed is not used any more', () => {
  const [self, other] = fleet(2) as [DelegateCandidate, DelegateCandidate]
  const selector = selectorOf(self)
  selector.recordOffer(POOL, other, OFFER, 0)
  expect([selector.pick(POOL, { avoid: [] }, 1499)?.id, selector.pick(POOL, { avoid: [] }, 1500)]).toEqual([other.id, undefined])
})

test('a daemon that declines is asked again after two seconds, and others in its place at once', () => {
  const daemons = fleet(9)
  const selector = selectorOf(daemons[0]!)
  const first = selector.toAsk(POOL, daemons, 0)
  expect(first).toHaveLength(4)
  for (const { id } of first) selector.recordDecline(POOL, id, 0)
  expect(selector.toAsk(POOL, daemons, 100).filter((each) => first.includes(each))).toEqual([])
  expect(selector.toAsk(POOL, daemons, 2000)).toEqual(first)
})

test('more daemons are asked while the offers that there are have no room', () => {
  const daemons = fleet(12)
  const selector = selectorOf(daemons[0]!)
  const offering = selector.toAsk(POOL, daemons, 0)
  for (const each of offering) selector.recordOffer(POOL, each, { room: 1, activityAgeMs: 0 }, 0)
  expect(selector.toAsk(POOL, daemons, 500)).toEqual(daemons.filter((each) => offering.includes(each)))
  for (const { id } of offering) selector.started(id)
  expect(selector.toAsk(POOL, daemons, 500)).toHaveLength(8)
})

/** Requests of other daemons that a daemon runs at once. */
const RUNS = 32
const REQUESTS_EACH = 10
/** Largest load of a daemon relative to the mean. */
const MAX_LOAD_RATIO = 4

test.each([9, 87, 195, 420])('the load of a whole failure domain of %i daemons is spread over the others', (size) => {
  // Guards against daemons that are cut off together sending their requests to the same few.
  const daemons = fleet(size)
  const isCut = ({ failureDomain }: DelegateCandidate) => failureDomain === 'z0'
  const helpers = daemons.filter((each) => !isCut(each))
  const origins = daemons.filter(isCut).map((self) => ({ selector: selectorOf(self), asked: 0 }))
  const load = new Map<DaemonId, number>()
  const originsOf = new Map<DaemonId, Set<DelegateSelector>>(helpers.map(({ id }) => [id, new Set()]))
  for (const origin of [...origins, ...origins]) {
    for (const each of origin.selector.toAsk(POOL, daemons, 0)) {
      origin.asked++
      if (isCut(each)) origin.selector.recordDecline(POOL, each.id, 0)
      else origin.selector.recordOffer(POOL, each, { room: Math.floor(RUNS / originsOf.get(each.id)!.add(origin.selector).size), activityAgeMs: 0 }, 0)
    }
  }
  for (let i = 0; i < REQUESTS_EACH; i++) {
    for (const { selector } of origins) {
      const to = selector.pick(POOL, { avoid: [] }, 0)!
      selector.started(to.id)
      load.set(to.id, (load.get(to.id) ?? 0) + 1)
    }
  }
  const share = origins.length * REQUESTS_EACH / helpers.length
  expect(Math.max(...load.values())).toBeLessThanOrEqual(Math.min(RUNS, MAX_LOAD_RATIO * share))
  expect(Math.max(...origins.map(({ asked }) => asked))).toBeLessThanOrEqual(12)
})

/** A selector of the first daemon of the fleet, with the failure domains `z0` and `z1` in its region. */
function regionalSelector (): DelegateSelector {
  const regions = new Map(['z0', 'z1', 'z2', 'z3'].map((name, i) => [as<FailureDomain>(name), as<Region>(i < 2 ? 'north' : 'south')]))
  const { id, failureDomain } = fleet(1)[0]!
  return new DelegateSelector({ self: id, failureDomain, hash, topology: new RegionTopology({ ownDomain: failureDomain, regions }) })
}

test('daemons of other regions are selected last', () => {
  const selector = regionalSelector()
  const [own, region, other] = [4, 1, 2].map((i) => fleet(8)[i]!) as [DelegateCandidate, DelegateCandidate, DelegateCandidate]
  for (const from of [other, region, own]) selector.recordOffer(POOL, from, { ...OFFER, room: 1 }, 0)
  const picked = Array.from({ length: 3 }, () => {
    const { id } = selector.pick(POOL, { avoid: [] }, 10)!
    selector.started(id)
    return id
  })
  expect(picked).toEqual([own.id, region.id, other.id])
})

test('daemons of other regions are asked once those of the own region decline', () => {
  // Guards against a region that is cut off whole asking each of its many daemons before one that reaches the endpoints.
  const selector = regionalSelector()
  const isOther = ({ failureDomain }: DelegateCandidate) => failureDomain === 'z2' || failureDomain === 'z3'
  const candidates = fleet(400)
  expect(selector.toAsk(POOL, candidates, 0).filter(isOther)).toEqual([])
  for (let round = 0; round < 4; round++) {
    const asked = selector.toAsk(POOL, candidates, round * 100)
    for (const candidate of asked.filter((each) => !isOther(each))) selector.recordDecline(POOL, candidate.id, round * 100)
  }
  expect(selector.toAsk(POOL, candidates, 500).filter(isOther)).not.toEqual([])
})
