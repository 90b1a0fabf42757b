/** How long first tokens take at a pool's engines, learnt from those that came. */

/** Time to a first token: what it takes beside reading, and what each prompt token adds. */
export interface Pace {
  firstMs: number
  msPerToken: number
}

/** A first token that came. */
export interface PaceSample {
  /** Prompt tokens that were unread at the endpoint when the request was sent, its own included. */
  unreadTokens: number
  /** Milliseconds from the request to its first token. */
  firstMs: number
}

/** Options of {@linkcode ReadingPace}. */
export interface ReadingPaceOptions {
  /** What is believed before anything was seen. */
  first: Pace
}

/** Part of what was seen before that a sample leaves: half of the belief is of the last 140 first tokens, seconds at any load that matters. */
const KEPT = 0.995
/** What the first belief counts for at first, in samples of short prompts: the first few first tokens outweigh it. */
const FIRST_WEIGHT = 1
/** Prompt that the first belief is taken at, beside an empty one, in tokens. */
const FIRST_PROMPT_TOKENS = 4000
/**
 * Errors beyond this part of what was predicted pull no harder than this does: first tokens that waited for something else are late by any factor, none is
 * early by as much, and their mean is far above what reading takes.
 */
const USUAL_ERROR = 0.2
/** Errors below this tell nothing, in milliseconds: a step of an engine. */
const LEAST_ERROR_MS = 5
/** Prompt that is read in about the time that a first token takes beside reading, in tokens; shorter ones count alike. */
const SHORT_PROMPT_TOKENS = 2000
/** Least time of a token: a line through few points may slope downwards. */
const LEAST_MS_PER_TOKEN = 1e-4

/**
 * Learns a line through first tokens by the work before them, the older ones counting less.
 *
 * Load pattern: engines of another deployment read at half or twice the speed. A fixed guess then finds an endpoint in time that is late behind two
 * prompts, and orders a fleet of half the size.
 */
export class ReadingPace implements Pace {
  #weight = 0
  #tokens = 0
  #tokensSquared = 0
  #ms = 0
  #msTokens = 0
  /** First tokens that it was learnt from. */
  samples = 0
  firstMs: number
  msPerToken: number

  constructor ({ first }: ReadingPaceOptions) {
    this.firstMs = first.firstMs
    this.msPerToken = first.msPerToken
    for (const tokens of [0, FIRST_PROMPT_TOKENS]) {
      const firstMs = first.firstMs + tokens * first.msPerToken
      this.#add({ unreadTokens: tokens, firstMs }, FIRST_WEIGHT / 2)
    }
  }

  /** Takes in a first token. */
  learn ({ unreadTokens, firstMs }: PaceSample): void {
    const predictedMs = this.firstMs + unreadTokens * this.msPerToken
    this.#fade()
    const usualErrorMs = Math.max(LEAST_ERROR_MS, predictedMs * USUAL_ERROR)
    const weight = Math.min(1, usualErrorMs / Math.abs(firstMs - predictedMs))
    this.#add({ unreadTokens, firstMs }, weight)
    this.samples++
    this.#solve()
  }

  /** Errors count in proportion to the prompt: a long one is not ten times as telling for missing by ten times as much. */
  #add ({ unreadTokens, firstMs }: PaceSample, samples: number): void {
    const weight = samples / (1 + unreadTokens / SHORT_PROMPT_TOKENS) ** 2
    this.#weight += weight
    this.#tokens += weight * unreadTokens
    this.#tokensSquared += weight * unreadTokens * unreadTokens
    this.#ms += weight * firstMs
    this.#msTokens += weight * firstMs * unreadTokens
  }

  #fade (): void {
    this.#weight *= KEPT
    this.#tokens *= KEPT
    this.#tokensSquared *= KEPT
    this.#ms *= KEPT
    this.#msTokens *= KEPT
  }

  /** The line with the least squared error; without a spread of prompts the slope stays, and the line moves. */
  #solve (): void {
    const spread = this.#weight * this.#tokensSquared - this.#tokens * this.#tokens
    if (spread > 0) this.msPerToken = Math.max(LEAST_MS_PER_TOKEN, (this.#weight * this.#msTokens - this.#tokens * this.#ms) / spread)
    this.firstMs = Math.max(0, (this.#ms - this.msPerToken * this.#tokens) / this.#weight)
  }
}
