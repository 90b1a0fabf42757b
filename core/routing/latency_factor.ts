/** Learns the speed of an endpoint relative to predictions from its first tokens. */

/** Predicted and actual first-token latency of one request. */
export interface FirstTokenSample {
  /** Prediction when the request was sent, in milliseconds. */
  predictedMs: number
  actualMs: number
  /**
   * Prompt tokens to be prefilled before the first token, including those of the request. Undefined for a plain call, and for a request that also waited for
   * something other than prefill.
   */
  unreadTokens?: number | undefined
}

/** Weight of one sample. A few dozen samples distinguish a slow endpoint from a temporary delay. */
const SMOOTHING = 0.05
/** Bounds of the ratio of one sample, so that a single stall does not make an endpoint appear dead. */
const MIN_RATIO = 0.5
const MAX_RATIO = 4

/** Returns the latency factor updated with a sample. Predictions are multiplied by this factor. */
export function updateLatencyFactor (latencyFactor: number, sample: FirstTokenSample): number {
  // The prediction already includes the factor, so it is divided out again.
  const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, sample.actualMs * latencyFactor / Math.max(1, sample.predictedMs)))
  return latencyFactor + SMOOTHING * (ratio - latencyFactor)
}
