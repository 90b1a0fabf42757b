import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import xxhash from 'xxhash-wasm'
import type { Account } from '../../core/catalog/index.ts'
import { as, type AccountId, type DaemonId, type FailureDomain, type Region } from '../../core/ids/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { RegionTopology } from '../../core/topology/index.ts'
import { StandInNetwork, StandInStore } from '../../standins/index.ts'
import { createMetrics } from '../metrics.ts'
import { FleetSize } from '../peers/fleet_size.ts'
import { MembershipTask } from '../peers/membership_task.ts'
import { seededRandom } from '../seeded_random.ts'
import { AccountLimits } from './account_limits.ts'

const ACCOUNT = as<AccountId>('council')
const REGIONS = new Map([['a', 'north'], ['b', 'north'], ['c', 'south'], ['d', 'south']].map(([domain, region]) => [as<FailureDomain>(domain!), as<Region>(region!)]))
const ROUND_TRIP_MS = 40

const { h32: hash } = await xxhash()

interface Node { membership: MembershipTask, limits: AccountLimits, domain: string }

let nodes: Node[]
let network: StandInNetwork
const isSouth = (id: DaemonId) => 'cd'.includes(id[0]!)

beforeEach(() => { vi.useFakeTimers() })
afterEach(async () => {
  for (const { limits, membership } of nodes) {
    limits.stop()
    await membership.stop()
  }
  vi.useRealTimers()
})

/** Starts eight daemons in two regions. The names of the southern ones would rank them as any others. */
async function start (perS: number): Promise<void> {
  network = new StandInNetwork({ latencyMs: (from, to) => (isSouth(from) === isSouth(to) ? 1 : ROUND_TRIP_MS / 2) })
  const store = new StandInStore()
  const random = seededRandom(5)
  nodes = []
  for (const domain of ['a', 'b', 'c', 'd', 'a', 'b', 'c', 'd']) {
    const self = as<DaemonId>(`${domain}-${nodes.length}`)
    const topology = new RegionTopology({ ownDomain: as<FailureDomain>(domain), regions: REGIONS })
    const membership = new MembershipTask({ self, listen: { host: '', port: 0 }, failureDomain: as(domain), topology, seeds: nodes.slice(0, 3).map((node) => node.membership.core.self.address), store, links: network.join(self), hash, metrics: createMetrics(), random })
    await membership.start()
    const limits = new AccountLimits({ self, host: self, tolerance: { windowMs: 8000, overshoot: 0.1, slack: 0 }, membership, fleet: new FleetSize(membership), topology })
    limits.apply([{ id: ACCOUNT, quota: { unit: 'requests', perS, burst: perS, plainTokens: 0 } } as Account])
    limits.start()
    nodes.push({ membership, limits, domain })
  }
  await vi.advanceTimersByTimeAsync(8000)
}

/** Sends requests of the account to one daemon at random times, and returns how long each waited in milliseconds; undefined for a rejected one. */
async function charge ({ limits }: Node, { perS, forMs }: { perS: number, forMs: number }): Promise<Array<number | undefined>> {
  const random = seededRandom(9)
  const waits: Array<Promise<number | undefined>> = []
  const send = async () => {
    for (const untilMs = steadyNow() + forMs; steadyNow() < untilMs;) {
      const sentAtMs = steadyNow()
      waits.push(limits.charge(ACCOUNT, undefined).then((result) => ('giveBack' in result ? steadyNow() - sentAtMs : undefined)))
      await delay(-Math.log(1 - random()) * 1000 / perS)
    }
  }
  const sent = send()
  await vi.advanceTimersByTimeAsync(forMs + 1000)
  await sent
  return await Promise.all(waits)
}

test('one region holds the keeper of quotas, also when daemons of it leave', async () => {
  await start(1000)
  const keepers = () => new Set(nodes.map(({ membership, limits }) => limits.keeper ?? membership.core.self.id))
  expect([...keepers()].map(isSouth)).toEqual([false])
  const [left] = nodes.splice(nodes.findIndex(({ membership }) => keepers().has(membership.core.self.id)), 1)
  left!.limits.stop()
  const leaving = left!.membership.leave(undefined)
  await vi.advanceTimersByTimeAsync(3000)
  await leaving
  expect([...keepers()].map(isSouth)).toEqual([false])
})

test('most requests of an account at a daemon far from its keeper do not wait for a round trip', async () => {
  await start(1000)
  const waits = await charge(nodes.find(({ domain }) => domain === 'd')!, { perS: 20, forMs: 10_000 })
  expect(waits).not.toContain(undefined)
  expect(waits.filter((ms) => ms === 0).length / waits.length).toBeGreaterThan(0.6)
  expect(Math.max(...waits as number[])).toBeLessThanOrEqual(ROUND_TRIP_MS + 5)
})

test('an account above its quota gets no more at a daemon far from its keeper', async () => {
  await start(10)
  const waits = await charge(nodes.find(({ domain }) => domain === 'd')!, { perS: 100, forMs: 8000 })
  const tolerated = (10 * 8 + 10) * 1.1
  expect(waits.filter((ms) => ms !== undefined).length).toBeLessThanOrEqual(tolerated)
})

test('what a daemon drew ahead is lost when its configuration changes the quota', async () => {
  // Guards against requests that are charged to a stock in another unit.
  await start(1000)
  const far = nodes.find(({ domain }) => domain === 'd')!
  await charge(far, { perS: 20, forMs: 200 })
  const charged = async () => {
    const sentAtMs = steadyNow()
    const result = far.limits.charge(ACCOUNT, undefined).then(() => steadyNow() - sentAtMs)
    await vi.advanceTimersByTimeAsync(60)
    return await result
  }
  await charged()
  expect(await charged()).toBe(0)
  far.limits.apply([{ id: ACCOUNT, quota: { unit: 'requests', perS: 900, burst: 1000, plainTokens: 0 } } as Account])
  expect(await charged()).toBeGreaterThanOrEqual(ROUND_TRIP_MS)
})
