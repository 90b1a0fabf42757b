/** Learns the first-token latency of a pool's engines from observed first tokens. */

/** Linear model of the time to the first token. */
export interface FirstTokenModel {
  /** Milliseconds to the first token without prefill. */
  firstMs: number
  /** Milliseconds that each prompt token to be prefilled adds. */
  msPerToken: number
}

/** An observed first token. */
export interface FirstTokenObservation {
  /** Prompt tokens that the endpoint still had to prefill when the request was sent, including those of the request. */
  unreadTokens: number
  /** Milliseconds from the request to its first token. */
  firstMs: number
}

/** Options of {@linkcode FirstTokenEstimator}. */
export interface FirstTokenEstimatorOptions {
  /** Estimate before any observation. */
  prior: FirstTokenModel
}

/** Decay of the weight of older samples with each new one. The last 140 first tokens have half of the weight; any significant load produces them within seconds. */
const DECAY = 0.995
/** Initial weight of the prior, in samples of short prompts. A few observations outweigh it. */
const PRIOR_WEIGHT = 1
/** Prompt length at which the prior is sampled, in addition to an empty prompt, in tokens. */
const PRIOR_PROMPT_TOKENS = 4000
/**
 * Relative error above which the influence of a sample no longer grows, as in Huber regression. First tokens that waited for something else may be late by
 * any factor, but none is early by as much, so their mean is far above the actual prefill time.
 */
const MAX_RELATIVE_ERROR = 0.2
/** Duration of one engine step, in milliseconds. Smaller errors are noise and never limit a sample's influence. */
const ENGINE_STEP_MS = 5
/** Prompt length whose prefill takes about as long as the rest of the first-token latency, in tokens. Shorter prompts have about the same weight. */
const SHORT_PROMPT_TOKENS = 2000
/** Minimum time per token; a line fitted to few points may have a negative slope. */
const MIN_MS_PER_TOKEN = 1e-4

/**
 * Fits a line to first-token latency over the tokens to be prefilled, with exponentially decaying weights.
 *
 * Engines of another deployment may prefill at half or twice the speed. With a fixed estimate an endpoint would count as in time although two queued prompts
 * make it late, and a fleet of half the required size would be ordered.
 */
export class FirstTokenEstimator implements FirstTokenModel {
  #weightSum = 0
  #tokenSum = 0
  #tokenSquareSum = 0
  #msSum = 0
  #msTokenSum = 0
  /** Number of observed first tokens. */
  samples = 0
  firstMs: number
  msPerToken: number

  constructor ({ prior }: FirstTokenEstimatorOptions) {
    this.firstMs = prior.firstMs
    this.msPerToken = prior.msPerToken
    for (const tokens of [0, PRIOR_PROMPT_TOKENS]) {
      const firstMs = prior.firstMs + tokens * prior.msPerToken
      this.#add({ unreadTokens: tokens, firstMs }, PRIOR_WEIGHT / 2)
    }
  }

  /** Adds an observed first token. */
  learn ({ unreadTokens, firstMs }: FirstTokenObservation): void {
    const predictedMs = this.firstMs + unreadTokens * this.msPerToken
    this.#decay()
    const maxErrorMs = Math.max(ENGINE_STEP_MS, predictedMs * MAX_RELATIVE_ERROR)
    const weight = Math.min(1, maxErrorMs / Math.abs(firstMs - predictedMs))
    this.#add({ unreadTokens, firstMs }, weight)
    this.samples++
    this.#fit()
  }

  /** Weighs errors relative to the prompt length, since the absolute error grows with it: an error ten times as large on a long prompt is no stronger evidence. */
  #add ({ unreadTokens, firstMs }: FirstTokenObservation, sampleCount: number): void {
    const weight = sampleCount / (1 + unreadTokens / SHORT_PROMPT_TOKENS) ** 2
    this.#weightSum += weight
    this.#tokenSum += weight * unreadTokens
    this.#tokenSquareSum += weight * unreadTokens * unreadTokens
    this.#msSum += weight * firstMs
    this.#msTokenSum += weight * firstMs * unreadTokens
  }

  #decay (): void {
    this.#weightSum *= DECAY
    this.#tokenSum *= DECAY
    this.#tokenSquareSum *= DECAY
    this.#msSum *= DECAY
    this.#msTokenSum *= DECAY
  }

  /** Computes the weighted least-squares line. If all prompts have the same length, the slope is kept and only the intercept changes. */
  #fit (): void {
    const determinant = this.#weightSum * this.#tokenSquareSum - this.#tokenSum * this.#tokenSum
    if (determinant > 0) this.msPerToken = Math.max(MIN_MS_PER_TOKEN, (this.#weightSum * this.#msTokenSum - this.#tokenSum * this.#msSum) / determinant)
    this.firstMs = Math.max(0, (this.#msSum - this.msPerToken * this.#tokenSum) / this.#weightSum)
  }
}
