/** Random numbers that a seed repeats. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import type { Random } from '../core/routing/index.ts'

/** Random numbers in [0, 1) from a seed. */
export function seededRandom (seed: number): Random {
  const generator = xoroshiro128plus(seed)
  return () => (generator.next() >>> 0) / 2 ** 32
}
