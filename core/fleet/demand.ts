/** How many hosts the work of a pool needs, by its latency target. */
import type { EndpointSpeed } from '../routing/index.ts'

/** Streams that a host can run while tokens come within the target. */
export function streamsWithinTarget (speed: EndpointSpeed, betweenTokensMs: number | undefined): number {
  if (betweenTokensMs === undefined || speed.betweenTokensPerStreamMs === 0) return speed.batchSlots
  const within = Math.floor((betweenTokensMs - speed.betweenTokensMs) / speed.betweenTokensPerStreamMs)
  return Math.max(1, Math.min(speed.batchSlots, within))
}

/** Room kept for work that arrives while a host boots. */
const GROWTH_MARGIN = 1.25

/**
 * Counts the hosts for the streams that run or wait.
 * @param streams Streams in the pool now.
 * @returns Hosts, a fraction included.
 */
export function hostsNeeded (streams: number, options: { speed: EndpointSpeed, betweenTokensMs: number | undefined }): number {
  return streams * GROWTH_MARGIN / streamsWithinTarget(options.speed, options.betweenTokensMs)
}
