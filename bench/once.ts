/** Cost of idempotency key claims: store writes and added latency by load. */
import { as, type RequestId } from '../core/ids/index.ts'
import type { Claim, KeyHash } from '../core/once/index.ts'
import { seededRandom } from '../daemon/seeded_random.ts'
import { COMMIT_INTERVAL_MS, ShardLog } from '../daemon/once/shard_log.ts'
import { StandInStore } from '../standins/index.ts'
import { quantile, round, slope, type Bench, type Figures } from './bench.ts'
import { delay } from '../core/time/index.ts'

const CLAIMS_PER_S = [3, 28, 140, 280, 560]
const RUN_MS = 5000
const SHARDS = 8
const STORE_LATENCY_MS = 5

/** `npm run bench -- once`. */
export const onceBench: Bench = {
  name: 'once',
  about: 'store writes per second and added latency of idempotency key claims',
  async run ({ seed, print }) {
    const rows: Figures[] = []
    for (const perS of CLAIMS_PER_S) {
      const row = await measure(perS, seed)
      print(JSON.stringify(row))
      rows.push(row)
    }
    const writesPerClaim = slope(rows.map((row) => ({ x: row.claimsPerS as number, y: row.writesPerS as number })))
    return { commitIntervalMs: COMMIT_INTERVAL_MS, storeMs: STORE_LATENCY_MS, rows, writesPerClaim: round(writesPerClaim, 3) }
  }
}

async function measure (ratePerS: number, seed: number): Promise<Figures> {
  const random = seededRandom(seed)
  const store = new StandInStore()
  store.faults.slowMs = STORE_LATENCY_MS
  const shards = Array.from({ length: SHARDS }, (_, shard) => new ShardLog({ store, shard }))
  const latencies: number[] = []
  const claims: Array<Promise<void>> = []
  const from = Date.now()
  for (let i = 0; Date.now() - from < RUN_MS; i++) {
    claims.push(claimOne(shards[Math.floor(random() * SHARDS)]!, i, latencies))
    await delay(-Math.log(1 - random()) * 1000 / ratePerS)
  }
  await Promise.all(claims)
  const seconds = (Date.now() - from) / 1000
  return {
    claimsPerS: round(latencies.length / seconds, 1),
    writesPerS: round(store.calls.writes / seconds, 1),
    readsPerS: round(store.calls.reads / seconds, 1),
    // Baseline: one store write per request.
    writesPerSOneEach: round(latencies.length / seconds, 1),
    addedMsP50: round(quantile(latencies, 0.5), 1),
    addedMsP99: round(quantile(latencies, 0.99), 1)
  }
}

async function claimOne (shard: ShardLog, i: number, latencies: number[]): Promise<void> {
  const claim: Claim = { key: as<KeyHash>(`key-${i}`.padEnd(22, 'x')), body: 'b'.repeat(22), request: as<RequestId>(`daemon-name-12345678~${'0'.repeat(36)}${i}`), atMs: Date.now() }
  const startedAt = performance.now()
  await shard.claim(claim, Date.now() + 10_000)
  latencies.push(performance.now() - startedAt)
}
