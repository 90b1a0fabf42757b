/** Number of hosts that a pool needs to meet its latency target. */
import type { EndpointSpeed } from '../routing/index.ts'

/** Returns the number of streams that a host can run while meeting the target for the time between tokens. */
export function streamsWithinTarget (speed: EndpointSpeed, betweenTokensMs: number | undefined): number {
  if (betweenTokensMs === undefined || speed.betweenTokensPerStreamMs === 0) return speed.batchSlots
  const within = Math.floor((betweenTokensMs - speed.betweenTokensMs) / speed.betweenTokensPerStreamMs)
  return Math.max(1, Math.min(speed.batchSlots, within))
}

/** Headroom for work that arrives while a host boots. */
const GROWTH_MARGIN = 1.25

/**
 * Returns the number of hosts needed for the running and waiting streams of a pool.
 * @param streams Current number of streams in the pool.
 * @returns Hosts, possibly fractional.
 */
export function hostsNeeded (streams: number, options: { speed: EndpointSpeed, betweenTokensMs: number | undefined }): number {
  return streams * GROWTH_MARGIN / streamsWithinTarget(options.speed, options.betweenTokensMs)
}
