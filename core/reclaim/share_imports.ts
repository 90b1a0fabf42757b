/** Divides import bandwidth among daemons that plan concurrently without coordination. */
import type { EndpointId } from '../ids/index.ts'
import type { Target } from './problem.ts'

/** Options of {@linkcode shareImports}. */
export interface ShareImportsOptions {
  /** Average number of daemons that may import at one target in the same wave of reclaims. */
  sharers: number
  /** Seeded random source in [0, 1). */
  random: () => number
}

/** Number of daemons expected to import at the same target in one wave. */
const CONCURRENT_IMPORTS_PER_TARGET = 3
/** Average number of targets that one daemon imports at when many daemons share them. */
const IMPORT_TARGETS_PER_DAEMON = 6

/**
 * Sets the share of import bandwidth that this daemon may use at each target.
 *
 * All daemons see the same prices. If each chose the cheapest of all its targets, that target would be sent many times what it can import before the
 * notice ends. Drawing a few targets at random for each plan spreads the load; see docs/design/reclaim.md.
 */
export function shareImports (targets: readonly Target[], options: ShareImportsOptions): Map<EndpointId, Target> {
  const importShare = Math.min(1, CONCURRENT_IMPORTS_PER_TARGET / options.sharers)
  const probability = importShare === 1 ? 1 : IMPORT_TARGETS_PER_DAEMON / targets.length
  return new Map(targets.map((target) => [target.id, { ...target, importShare: options.random() < probability ? importShare : 0 }]))
}
