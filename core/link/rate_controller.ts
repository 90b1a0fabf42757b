/** Decides how fast one sender may use a link whose rate nobody knows and that many senders share. */

/** Options of {@linkcode RateController}. */
export interface RateControllerOptions {
  /** Initial rate in bytes per second. Default {@linkcode INITIAL_BYTES_PER_S}. */
  initialBytesPerS?: number
}

/** Rate of a sender that has not seen the link yet, in bytes per second. */
export const INITIAL_BYTES_PER_S = 16_384
/** Rate below which no sender falls, in bytes per second: enough for a probe and a small call each second. */
export const MIN_BYTES_PER_S = 2048
/** Rate above which no sender rises, in bytes per second: far above what one daemon can send. */
const MAX_BYTES_PER_S = 125_000_000
/** Queueing delay at which a fast sender stops growing, in milliseconds. */
const BASE_TARGET_MS = 15
/** Additional delay that a slow sender tolerates, in milliseconds. */
const MAX_EXTRA_TARGET_MS = 15
/** Rate at which that extra has fallen to half, in bytes per second. */
const HALF_EXTRA_BYTES_PER_S = 65_536
/** Growth for each sample below the target, as a fraction of the rate, and the least growth in bytes per second. */
const GROWTH = 0.025
const MIN_GROWTH_BYTES_PER_S = 256
/** Largest reduction for one sample. */
const MAX_REDUCTION = 0.5
/** Reduction for a loss between samples that arrive. */
const SINGLE_LOSS_REDUCTION = 0.05
/** Losses in a row after which the link counts as cut or full. */
const LOSSES_OF_CUT = 3
/** Reduction for each part of the target by which the delay exceeds it. */
const REDUCTION_GAIN = 0.08
/** Samples after a reduction or a doubling in which the queue may still show the rate before it; no further one is made for them. */
const SETTLE_SAMPLES = 3
/** Fraction of the rate that must have been used for it to grow: an idle sender learns nothing about the link. */
const MIN_USE_TO_GROW = 0.5

/**
 * Adapts the rate to the queueing delay: it grows a little while the delay is below a target and shrinks in proportion to the excess.
 *
 * A slow sender has a higher target than a fast one. Where all see the same queue, the slow one still grows when the fast one shrinks, so that their rates meet
 * without any message between them. Loss and silence count as the largest excess.
 */
export class RateController {
  #bytesPerS: number
  #isProbing = true
  #settling = 0
  #lossesInRow = 0
  /** Rate before the losses in a row began. */
  #beforeLoss = 0

  constructor ({ initialBytesPerS = INITIAL_BYTES_PER_S }: RateControllerOptions = {}) {
    this.#bytesPerS = initialBytesPerS
  }

  /** Current rate. */
  get bytesPerS (): number { return this.#bytesPerS }

  /** Queueing delay at which the sender neither grows nor shrinks, in milliseconds. */
  get targetMs (): number {
    return BASE_TARGET_MS + MAX_EXTRA_TARGET_MS / (1 + this.#bytesPerS / HALF_EXTRA_BYTES_PER_S)
  }

  /**
   * Adapts the rate after a sample.
   * @param delayMs Queueing delay.
   * @param usedBytesPerS What was sent since the last sample.
   */
  sampled (delayMs: number, usedBytesPerS: number): void {
    const excess = delayMs / this.targetMs - 1
    // A link that is whole again usually has the rate that it had; half of it leaves room for what the others kept waiting.
    if (this.#lossesInRow >= LOSSES_OF_CUT) this.#set(Math.max(this.#bytesPerS, this.#beforeLoss / 2))
    this.#lossesInRow = 0
    if (this.#settling > 0) this.#settling--
    if (excess > 0) return this.#reduce(this.#isProbing ? MAX_REDUCTION : Math.min(MAX_REDUCTION, REDUCTION_GAIN * excess))
    if (usedBytesPerS < this.#bytesPerS * MIN_USE_TO_GROW) return
    if (this.#isProbing) this.#double()
    else this.#set(this.#bytesPerS + Math.max(MIN_GROWTH_BYTES_PER_S, GROWTH * this.#bytesPerS) * Math.min(1, -excess * 2))
  }

  /** Doubles until the link answers for the first time, since its rate may be anything; each time only once the queue can show the last step. */
  #double (): void {
    if (this.#settling > 0) return
    this.#settling = SETTLE_SAMPLES
    this.#set(this.#bytesPerS * 2)
  }

  /** Adapts the rate after a sample got no answer. A single loss says little; several in a row mean that the link is cut or full. */
  lost (): void {
    if (this.#lossesInRow++ === 0) this.#beforeLoss = this.#bytesPerS
    if (this.#settling > 0) this.#settling--
    this.#reduce(this.#lossesInRow < LOSSES_OF_CUT ? SINGLE_LOSS_REDUCTION : MAX_REDUCTION)
  }

  #reduce (fraction: number): void {
    if (this.#settling > 0 && !this.#isProbing) return
    this.#isProbing = false
    this.#settling = SETTLE_SAMPLES
    this.#set(this.#bytesPerS * (1 - fraction))
  }

  #set (bytesPerS: number): void {
    this.#bytesPerS = Math.min(MAX_BYTES_PER_S, Math.max(MIN_BYTES_PER_S, bytesPerS))
  }
}
