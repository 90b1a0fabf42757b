/** Store call rate during and after an outage, with and without backoff. */
import { delay } from '../core/time/index.ts'
import { seededRandom } from '../daemon/seeded_random.ts'
import { StandInStore } from '../standins/index.ts'
import { BudgetedStore, StoreError, type ObjectStore } from '../store/index.ts'
import { round, type Bench, type Figures } from './bench.ts'

const SIZES = [9, 100, 420]
const OUTAGE_MS = 8000
const RECOVERY_MS = 12_000
const SLICE_MS = 100
const RETRY_MS = 500

/** `npm run bench -- store`. */
export const storeBench: Bench = {
  name: 'store',
  about: 'peak store call rate during and after an outage',
  async run ({ seed, print }) {
    const rows = await Promise.all(SIZES.flatMap((daemons) => [measure(daemons, 'budgeted', seed), measure(daemons, 'naive', seed)]))
    for (const row of rows) print(JSON.stringify(row))
    return { outageMs: OUTAGE_MS, rows }
  }
}

/** Each daemon retries one read until the store answers; the naive client retries every 500 ms. */
async function measure (daemons: number, kind: 'budgeted' | 'naive', seed: number): Promise<Figures> {
  const store = new StandInStore()
  store.faults.down = true
  const random = seededRandom(seed)
  const end = new AbortController()
  const waiting = Array.from({ length: daemons }, async () => {
    const client: ObjectStore = kind === 'naive' ? store : new BudgetedStore(store, { use: 'config', budget: { perS: 2, burst: 10 }, random })
    while (!end.signal.aborted) {
      try {
        await client.get('config/current')
        return performance.now()
      } catch (err) {
        if (!(err instanceof StoreError)) throw err
        await delay(kind === 'naive' ? RETRY_MS : RETRY_MS * (1 + random()))
      }
    }
    return Infinity
  })
  const callsPerSlice: number[] = []
  let before = 0
  const sampler = setInterval(() => {
    const calls = store.calls.reads
    callsPerSlice.push(calls - before)
    before = calls
  }, SLICE_MS)
  await delay(OUTAGE_MS)
  store.faults.down = false
  const restoredAt = performance.now()
  await delay(RECOVERY_MS)
  end.abort()
  clearInterval(sampler)
  const answeredAt = await Promise.all(waiting)
  const perS = (counts: readonly number[]) => round(Math.max(...counts) * 1000 / SLICE_MS, 0)
  const outageSlices = OUTAGE_MS / SLICE_MS
  return {
    daemons,
    client: kind,
    peakPerSDuring: perS(callsPerSlice.slice(10, outageSlices)),
    meanPerSDuring: round(callsPerSlice.slice(10, outageSlices).reduce((sum, calls) => sum + calls, 0) * 1000 / (OUTAGE_MS - 10 * SLICE_MS), 0),
    peakPerSAfter: perS(callsPerSlice.slice(outageSlices)),
    lastAnsweredAfterMs: Math.round(Math.max(...answeredAt) - restoredAt)
  }
}
