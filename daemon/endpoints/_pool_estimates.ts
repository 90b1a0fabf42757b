/** Speed estimates that all endpoints of a pool share. */
import type { PoolName } from '../../core/ids/index.ts'
import { ChunkIntervalEstimator, FirstTokenEstimator, POOL_SMOOTHING } from '../../core/routing/index.ts'
import type { ListedHost } from '../../endpoints/index.ts'

const MS_PER_S = 1000

/** Keeps the estimates of each pool. */
export class PoolEstimates {
  readonly #firstToken = new Map<PoolName, FirstTokenEstimator>()
  readonly #chunkInterval = new Map<PoolName, ChunkIntervalEstimator>()

  /** Estimate of the time to a first token in a pool; undefined while no endpoint of the pool has used it. */
  firstToken (pool: PoolName): FirstTokenEstimator | undefined {
    return this.#firstToken.get(pool)
  }

  /** Estimate of the time to a first token in the pool of an endpoint, which starts with the endpoint's own figures. */
  firstTokenOf ({ pool, firstMs = 0, speed }: ListedHost['endpoint']): FirstTokenEstimator {
    let estimator = this.#firstToken.get(pool)
    if (!estimator) {
      estimator = new FirstTokenEstimator({ prior: { firstMs, msPerToken: MS_PER_S / speed.prefillTokensPerS } })
      this.#firstToken.set(pool, estimator)
    }
    return estimator
  }

  /** Estimate of the time between two pieces of a stream in a pool. */
  chunkIntervalOf (pool: PoolName): ChunkIntervalEstimator {
    const estimator = this.#chunkInterval.get(pool) ?? new ChunkIntervalEstimator({ smoothing: POOL_SMOOTHING })
    this.#chunkInterval.set(pool, estimator)
    return estimator
  }
}
