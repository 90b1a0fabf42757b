import fc from 'fast-check'
import { expect, test } from 'vitest'
import { seededRandom } from '../../daemon/seeded_random.ts'
import { as, type DaemonId, type EndpointId, type PoolName } from '../ids/index.ts'
import type { EndpointWork } from '../routing/index.ts'
import { MemoryLedger, MemoryStock, openAllowance, type MemoryGrant } from './index.ts'

const CAPACITY = 100_000
const ENDPOINT = as<EndpointId>('e')
const POOL = as<PoolName>('p')
const daemonId = (i: number) => as<DaemonId>(`d${i}`)
const REPORT_MS = 300
const WARM_UP_MS = 1000
const GRANT_TTL_MS = 3500
const HOLDER_TTL_MS = 5000

function load (heldTokens: number): EndpointWork[] {
  return heldTokens > 0 ? [[ENDPOINT, { running: 1, unread: { urgent: 0, normal: 0, late: 0 }, heldTokens }]] : []
}

/** A ledger past its warm-up, at an endpoint where a daemon holds so much that nothing is sent without a grant. */
function warmLedger ({ heldTokens = CAPACITY * 0.6, isOpen = true } = {}): MemoryLedger {
  const ledger = new MemoryLedger({ capacityOf: () => CAPACITY, isOpen: () => isOpen })
  for (let now = 0; now <= 2 * WARM_UP_MS; now += 500) {
    ledger.report(daemonId(0), load(heldTokens), now)
    ledger.allocate({ share: 1, now })
  }
  return ledger
}

const ask = (ledger: MemoryLedger, { by, tokens, now }: { by: number, tokens: number, now: number }) => ledger.want(daemonId(by), [{ pool: POOL, tokens, endpoints: [ENDPOINT] }], now)

/** A daemon that uses its grants, with the messages that are under way. */
class SimulatedDaemon {
  readonly id: DaemonId
  requests: number[] = []
  unused: number[] = []
  received = 0

  constructor (i: number) { this.id = daemonId(i) }

  get held (): number { return [...this.requests, ...this.unused].reduce((sum, tokens) => sum + tokens, 0) }
}

const steps = fc.array(fc.record({
  daemon: fc.integer({ min: 0, max: 5 }),
  act: fc.constantFrom('ask', 'ask', 'send', 'end', 'give-up', 'report', 'update'),
  tokens: fc.integer({ min: 500, max: 40_000 }),
  afterMs: fc.integer({ min: 0, max: 120 }),
  /** Delay of the grants of this step; 0 if they are lost. */
  delayMs: fc.constantFrom(0, 1, 40, 900)
}), { minLength: 20, maxLength: 150 })

test('what all daemons hold and are promised stays within the memory, in whatever order they ask, use, return and report, and whatever grants are lost', () => {
  // Guards against grants that count as returned while a daemon may still use them.
  fc.assert(fc.property(steps, (sequence) => {
    const ledger = new MemoryLedger({ capacityOf: () => CAPACITY })
    const daemons = Array.from({ length: 7 }, (_, i) => new SimulatedDaemon(i))
    // So much is held all the time that nothing is sent without a grant.
    daemons[6]!.requests.push(CAPACITY * 0.55)
    const underWay: Array<{ grant: MemoryGrant, atMs: number }> = []
    let now = 0
    const pass = (ms: number) => {
      now += ms
      for (const { grant } of underWay.filter(({ atMs }) => atMs <= now)) {
        const daemon = daemons.find(({ id }) => id === grant.daemon)!
        daemon.unused.push(grant.tokens)
        daemon.received = Math.max(daemon.received, grant.number)
      }
      underWay.splice(0, underWay.length, ...underWay.filter(({ atMs }) => atMs > now))
    }
    const reportAll = () => {
      for (const { id, held, received } of daemons) {
        ledger.confirm(id, received)
        ledger.report(id, load(held), now)
      }
    }
    for (let i = 0; i < 12; i++) {
      pass(REPORT_MS)
      reportAll()
      ledger.allocate({ share: 1, now })
    }
    for (const { daemon: i, act, tokens, afterMs, delayMs } of sequence) {
      pass(afterMs)
      const daemon = daemons[i]!
      if (act === 'ask') ask(ledger, { by: i, tokens, now })
      else if (act === 'send') daemon.requests.push(...daemon.unused.splice(0, 1))
      else if (act === 'end') daemon.requests.shift()
      else if (act === 'give-up') daemon.unused.length = 0
      else if (act === 'report') reportAll()
      else ledger.update(daemon.id, { held: [[ENDPOINT, daemon.held]], received: daemon.received }, now)
      for (const grant of ledger.allocate({ share: 1, now })) {
        // A link keeps the order of its messages.
        const atMs = Math.max(now + delayMs, ...underWay.filter((each) => each.grant.daemon === grant.daemon).map((each) => each.atMs))
        if (delayMs > 0) underWay.push({ grant, atMs })
      }
      const promised = underWay.reduce((sum, { grant }) => sum + grant.tokens, 0)
      expect(daemons.reduce((sum, { held }) => sum + held, 0) + promised).toBeLessThanOrEqual(CAPACITY)
    }
  }), { seed: 16, numRuns: 2000 })
})

test('nothing is granted until all daemons had time to report to a new keeper', () => {
  // Guards against a new keeper that takes endpoints for empty whose load was not reported to it.
  const ledger = new MemoryLedger({ capacityOf: () => CAPACITY })
  ledger.report(daemonId(0), [], 0)
  ask(ledger, { by: 0, tokens: 10_000, now: 0 })
  expect(ledger.allocate({ share: 1, now: WARM_UP_MS - 1 })).toEqual([])
  ledger.report(daemonId(1), load(CAPACITY - 5000), WARM_UP_MS - 1)
  ask(ledger, { by: 0, tokens: 10_000, now: WARM_UP_MS })
  expect(ledger.allocate({ share: 1, now: WARM_UP_MS })).toEqual([])
})

test('tokens of a daemon that was killed count until its reports are dropped, and a lost grant until its time is over', () => {
  const ledger = warmLedger()
  const [startMs, tokens] = [2 * WARM_UP_MS, 30_000]
  ask(ledger, { by: 1, tokens, now: startMs })
  expect(ledger.allocate({ share: 1, now: startMs })).toHaveLength(1)
  const heldAt = (now: number): number => {
    for (let ms = startMs; ms <= now; ms += 500) ledger.report(daemonId(2), [], ms)
    ledger.allocate({ share: 1, now })
    return ledger.held(ENDPOINT)
  }
  expect(heldAt(startMs + GRANT_TTL_MS - 1)).toBe(CAPACITY * 0.6 + tokens)
  expect(heldAt(startMs + GRANT_TTL_MS + 200)).toBe(CAPACITY * 0.6)
  expect(heldAt(startMs + HOLDER_TTL_MS - 1)).toBe(CAPACITY * 0.6)
  expect(heldAt(startMs + HOLDER_TTL_MS + 200)).toBe(0)
})

test('a keeper that a part of the daemons chose grants that part of the memory', () => {
  const ledger = warmLedger()
  const now = 2 * WARM_UP_MS
  ask(ledger, { by: 1, tokens: 1000, now })
  expect(ledger.allocate({ share: 0.6, now })).toEqual([])
  expect(ledger.allocate({ share: 0.62, now })).toHaveLength(1)
})

test('while the load that was sent to daemons is low, the memory that they may use without a grant is not granted', () => {
  // Guards against grants for memory that requests take which are not reported yet.
  const ledger = warmLedger({ heldTokens: 0 })
  const now = 2 * WARM_UP_MS
  ask(ledger, { by: 1, tokens: CAPACITY * 0.3, now })
  expect(ledger.allocate({ share: 1, now })).toEqual([])
  ask(ledger, { by: 1, tokens: CAPACITY * 0.2, now })
  expect(ledger.allocate({ share: 1, now })).toHaveLength(1)
  const closed = warmLedger({ heldTokens: 0, isOpen: false })
  ask(closed, { by: 1, tokens: CAPACITY * 0.9, now })
  expect(closed.allocate({ share: 1, now })).toHaveLength(1)
})

test('a large request that has waited gets the memory that is freed, before smaller ones that came later', () => {
  // Guards against large requests that never start while small ones take each freed piece.
  const ledger = warmLedger({ heldTokens: CAPACITY * 0.95 })
  let now = 2 * WARM_UP_MS
  ask(ledger, { by: 1, tokens: 30_000, now })
  now += 900
  ask(ledger, { by: 1, tokens: 30_000, now })
  ledger.report(daemonId(0), load(CAPACITY * 0.95), now)
  now += 200
  ask(ledger, { by: 2, tokens: 2000, now })
  expect(ledger.allocate({ share: 1, now })).toEqual([])
  ledger.update(daemonId(0), { held: [[ENDPOINT, CAPACITY * 0.69]], received: 0 }, now)
  expect(ledger.allocate({ share: 1, now }).map(({ daemon }) => daemon)).toEqual([daemonId(1)])
})

test.each([9, 67, 195, 420])('an open endpoint stays within its memory if all of %i daemons send to it at once between two reports', (count) => {
  // Guards against daemons that each see the same free memory and all take it.
  const random = seededRandom(count)
  const capacityTokens = 633_000
  for (let run = 0; run < 300; run++) {
    const heldTokens = Math.floor(random() * capacityTokens / 2)
    const meanTokens = 1000 + random() * 20_000
    let sent = 0
    for (let i = 0; i < count; i++) {
      const stock = new MemoryStock({ random })
      // Each tries several times within the time until its sends are known.
      for (let attempt = 0; attempt < 12; attempt++) {
        const now = attempt * 50
        if (attempt % 6 === 0) stock.snapshot(600, now)
        if (!stock.mayTake(ENDPOINT, meanTokens, { capacityTokens, heldTokens, meanTokens, daemons: count, now })) continue
        stock.take(ENDPOINT, meanTokens, now)
        sent += -Math.log(1 - random()) * meanTokens
      }
    }
    expect(heldTokens + sent).toBeLessThanOrEqual(capacityTokens)
  }
})

test('a daemon sends more without a grant only after its sends are known and the load of the others has arrived', () => {
  // Guards against daemons that go on by old sums while no reports arrive.
  const stock = new MemoryStock({ random: () => 0 })
  const state = { capacityTokens: 633_000, heldTokens: 0, meanTokens: 1000, daemons: 100 }
  const allowed = Math.floor(openAllowance({ ...state, freeTokens: 633_000 }))
  const sendAll = (now: number): number => {
    let sent = 0
    for (; stock.mayTake(ENDPOINT, 1000, { ...state, now }); sent++) stock.take(ENDPOINT, 1000, now)
    return sent
  }
  expect(sendAll(0)).toBe(0)
  stock.snapshot(600, 0)
  expect([allowed, sendAll(1)]).toEqual([3, 3])
  expect(sendAll(5000)).toBe(0)
  stock.snapshot(600, 5000)
  expect([sendAll(5100), sendAll(5200)]).toEqual([3, 0])
})
