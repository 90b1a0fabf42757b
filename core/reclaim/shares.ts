/** How daemons that plan at the same time without knowing of each other share what is scarce. */
import type { EndpointId } from '../ids/index.ts'
import type { Target } from './problem.ts'

/** Options of {@linkcode shareImports}. */
export interface ShareImportsOptions {
  /** Daemons that may import at one target in the same wave, on average. */
  sharers: number
  /** Seeded random source in [0, 1). */
  random: () => number
}

/** Of the daemons that use one target, those that are expected to import there in one wave. */
const IMPORTS_AT_ONCE = 3
/** Targets that one daemon imports at when many daemons share them. */
const IMPORT_TARGETS = 6

/**
 * Gives this daemon its share of the targets' import bandwidth.
 *
 * All daemons see the same prices; if each chose the cheapest of all its targets, the cheapest would be sent many times what it can
 * import before the notice ends. A few targets drawn at random for each plan spread the load; see docs/design/reclaim.md.
 */
export function shareImports (targets: readonly Target[], options: ShareImportsOptions): Map<EndpointId, Target> {
  const importShare = Math.min(1, IMPORTS_AT_ONCE / options.sharers)
  const chance = importShare === 1 ? 1 : IMPORT_TARGETS / targets.length
  return new Map(targets.map((target) => [target.id, { ...target, importShare: options.random() < chance ? importShare : 0 }]))
}
