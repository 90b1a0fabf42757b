/** Fluid model of a link that many senders share, for tests of how they share it. */
import { QueueingDelay, RateController } from '../core/link/index.ts'
import type { Random } from '../core/routing/index.ts'

/** Options of {@linkcode simulateLink}. */
export interface LinkSimulationOptions {
  senders: number
  /** Rate of the link in bytes per second, over time. */
  capacity (ms: number): number
  /** What a sender wants to send, in bytes per second. */
  demand (sender: number, ms: number): number
  durationMs: number
  random: Random
  /** Part of the samples that get no answer. Default: 0. */
  loss?: number
  /** Rate that each sender uses whatever it observes, in bytes per second; the baseline. Default: it adapts. */
  fixedBytesPerS?: number
  /** Time from which on figures are taken, in milliseconds. Default: 10,000. */
  fromMs?: number
}

/** Figures of a simulation. */
export interface LinkFigures {
  /** Part of the link's rate that was used. */
  use: number
  /** Delay that the queue added, in milliseconds. */
  delayP50Ms: number
  delayP95Ms: number
  /** Jain's index of the senders' rates: 1 if all are equal. */
  fairness: number
}

const STEP_MS = 10
const SAMPLE_INTERVAL_MS = 100
const SAMPLE_TIMEOUT_MS = 1000
const BASE_ROUND_TRIP_MS = 41
/** Noise of a sample: the time until a process reads its answer, in milliseconds. */
const MAX_NOISE_MS = 4
/** Bytes that fit into the link's queue; more are lost. */
const QUEUE_MS = 1000
const MS_PER_S = 1000

/** A sample on its way: undefined if it gets no answer. */
interface PendingSample { atMs: number, roundTripMs: number | undefined }
interface Sender { rate: RateController, delay: QueueingDelay, nextSampleMs: number, pending: PendingSample[], sentBytes: number, sinceSample: number, atSampleMs: number }

/** Runs senders over one link. Each samples the delay of the queue as it was a round trip before. */
export function simulateLink (options: LinkSimulationOptions): LinkFigures {
  const { senders: count, capacity, demand, durationMs, random, loss = 0, fixedBytesPerS, fromMs = 10_000 } = options
  const senders: Sender[] = Array.from({ length: count }, () => ({ rate: new RateController(), delay: new QueueingDelay(), nextSampleMs: random() * SAMPLE_INTERVAL_MS, pending: [], sentBytes: 0, sinceSample: 0, atSampleMs: 0 }))
  const delays: number[] = []
  let queued = 0
  let carried = 0
  let offered = 0
  for (let ms = 0; ms < durationMs; ms += STEP_MS) {
    const perStep = capacity(ms) * STEP_MS / MS_PER_S
    for (const [i, sender] of senders.entries()) {
      const rate = Math.min(demand(i, ms), fixedBytesPerS ?? sender.rate.bytesPerS)
      const bytes = rate * STEP_MS / MS_PER_S
      queued += bytes
      sender.sinceSample += bytes
      if (ms >= fromMs) sender.sentBytes += bytes
    }
    const moved = Math.min(queued, perStep)
    queued = Math.min(queued - moved, capacity(ms) * QUEUE_MS / MS_PER_S)
    const delayMs = perStep > 0 ? queued / perStep * STEP_MS : Infinity
    if (ms >= fromMs) {
      carried += moved
      offered += perStep
      delays.push(delayMs)
    }
    for (const sender of senders) sample(sender, { ms, delayMs, isLost: perStep === 0 || random() < loss, noiseMs: random() * MAX_NOISE_MS })
  }
  return { use: offered === 0 ? 0 : carried / offered, delayP50Ms: at(delays, 0.5), delayP95Ms: at(delays, 0.95), fairness: jainIndex(senders.map(({ sentBytes }) => sentBytes)) }
}

function sample (sender: Sender, { ms, delayMs, isLost, noiseMs }: { ms: number, delayMs: number, isLost: boolean, noiseMs: number }): void {
  if (ms >= sender.nextSampleMs) {
    sender.nextSampleMs = ms + SAMPLE_INTERVAL_MS
    const roundTripMs = isLost ? undefined : BASE_ROUND_TRIP_MS + delayMs + noiseMs
    sender.pending.push({ atMs: ms + (roundTripMs ?? SAMPLE_TIMEOUT_MS), roundTripMs })
  }
  for (const { roundTripMs } of sender.pending.filter(({ atMs }) => atMs <= ms)) report(sender, roundTripMs, ms)
  sender.pending = sender.pending.filter(({ atMs }) => atMs > ms)
}

function report (sender: Sender, roundTripMs: number | undefined, ms: number): void {
  const usedBytesPerS = sender.sinceSample * MS_PER_S / Math.max(STEP_MS, ms - sender.atSampleMs)
  sender.sinceSample = 0
  sender.atSampleMs = ms
  if (roundTripMs === undefined) return sender.rate.lost()
  sender.delay.record(roundTripMs, ms)
  sender.rate.sampled(sender.delay.delayMs!, usedBytesPerS)
}

function jainIndex (values: readonly number[]): number {
  const sum = values.reduce((a, b) => a + b, 0)
  const squares = values.reduce((a, b) => a + b * b, 0)
  return squares === 0 ? 1 : sum * sum / (values.length * squares)
}

function at (values: number[], q: number): number {
  values.sort((a, b) => a - b)
  return values[Math.min(values.length - 1, Math.floor(values.length * q))] ?? 0
}
