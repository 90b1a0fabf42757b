/** Reproducible pseudo-random numbers. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Random } from '../core/routing/index.ts'

/** Returns a generator of pseudo-random numbers in [0, 1) that is determined by the seed. */
export function seededRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => (generator.next() >>> 0) / 2 ** 32
}
