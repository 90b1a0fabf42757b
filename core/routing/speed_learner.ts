/** Learns from first tokens how fast an endpoint is. */

/** What was predicted of one request when it was sent, and what came. */
export interface FirstTokenSample {
  predictedMs: number
  actualMs: number
  /** Prompt tokens unread before it and its own; undefined for a plain call, and for one that waited for more than reading. */
  unreadTokens?: number | undefined
}

/** Weight of one sample: a few dozen of them tell a slow endpoint from a bad moment. */
const SMOOTHING = 0.05
/** Bounds of one sample's ratio, so that a single stall does not make an endpoint look dead. */
const LEAST_RATIO = 0.5
const LARGEST_RATIO = 4

/** Takes in a sample and gives the new slowness, which multiplies predictions. */
export function learnSlowness (slowness: number, sample: FirstTokenSample): number {
  // The prediction had the slowness of that moment in it; what matters is the part beside.
  const ratio = Math.min(LARGEST_RATIO, Math.max(LEAST_RATIO, sample.actualMs * slowness / Math.max(1, sample.predictedMs)))
  return slowness + SMOOTHING * (ratio - slowness)
}
