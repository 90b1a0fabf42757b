/** Outcomes of rollouts of good and faulty versions in fleets of 9 to 420 daemons, on engines and on a plain service, compared with a fixed-share canary. */
import { simulateRollout, type PoolKind, type VersionFault, type RolloutResult } from './_rollout_simulation.ts'
import { quantile, round, type Bench, type Figures } from './bench.ts'

const FLEETS = [9, 21, 68, 195, 420]
const POOLS: readonly PoolKind[] = ['engines', 'plain']
const KINDS: readonly VersionFault[] = ['good', 'at-once', 'later', 'under-load', 'one-route', 'slow']
const SEEDS = 200
const LIMIT = { share: 0.1, slack: 50 }

/** `npm run bench -- rollout`. */
export const rolloutBench: Bench = {
  name: 'rollout',
  about: 'rollouts of good and faulty versions in fleets of 9 to 420 daemons, on engines and on a plain service, compared with a fixed-share canary',
  run ({ seed, count = SEEDS, print }) {
    const rows = POOLS.flatMap((pool) => FLEETS.flatMap((daemons) => KINDS.flatMap((badness) => [false, true].map((baseline) => {
      const results = Array.from({ length: count }, (_, i) => simulateRollout({ seed: seed * 10_000 + i, daemons, pool, badness, limit: LIMIT, baseline }))
      const row = { pool, daemons, badness, by: baseline ? 'fixed share' : 'product', ...figuresOf(results, badness) }
      print(JSON.stringify(row))
      return row
    }))))
    return { seeds: count, limit: LIMIT, rows }
  }
}

function figuresOf (results: readonly RolloutResult[], badness: VersionFault): Figures {
  const expectedStage = badness === 'good' ? 'completed' : 'rolled-back'
  const exposureRatios = results.map(({ exposed, allowed }) => exposed / allowed)
  const endTimes = results.map(({ endedAt }) => endedAt)
  return {
    right: round(results.filter(({ stage }) => stage === expectedStage).length / results.length, 3),
    endedAt: { median: round(quantile(endTimes, 0.5)), most: round(Math.max(...endTimes)) },
    ...(badness !== 'good' && {
      exposure: { median: round(quantile(exposureRatios, 0.5)), most: round(Math.max(...exposureRatios)), over: exposureRatios.filter((part) => part > 1).length },
      harmed: { median: quantile(results.map(({ harmed }) => harmed), 0.5) }
    })
  }
}
