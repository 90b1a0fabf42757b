/** Discrete-event model of an engine with batch slots, a bounded queue, and sequential prefill ordered by lane. */
import { LANES, type Lane } from '../core/routing/index.ts'
import type { PromptPart } from '../core/work/index.ts'

/** Options of {@linkcode BatchEngine}. */
export interface BatchEngineOptions {
  slots: number
  /** Maximum number of requests waiting for a slot; further requests are rejected. */
  queue: number
  readTokensPerMs: number
  /** Time from the end of prefill to the first piece, in milliseconds. */
  firstMs: number
  /** Interval between two pieces on an idle engine, and the increase per running request, in milliseconds. */
  pieceMs: number
  pieceMsPerRequest: number
  /** Memory in tokens; an engine that gets more crashes and comes back empty. Default: unlimited. */
  memoryTokens?: number
}

/** A request submitted to an engine. */
export interface EngineJob {
  lane: Lane
  parts: readonly PromptPart[]
  promptTokens: number
  pieces: number
  /** Tokens of memory that the request holds until its end. Default: 0. */
  heldTokens?: number
  /** Called when the engine crashes. Default: does nothing. */
  onLost? (): void
  /** Returns false once the caller has given up; the prompt is not prefilled then. Default: it never does. */
  isWanted? (): boolean
  onFirstPiece (): void
  onEnd (): void
}

/** Simulated engine. Uses the timers of the runtime, so the caller must install and advance a fake clock. */
export class BatchEngine {
  readonly #options: BatchEngineOptions
  readonly #cachedParts = new Set<string>()
  readonly #slotQueue: EngineJob[] = []
  readonly #prefillQueue: EngineJob[] = []
  readonly #open = new Set<EngineJob>()
  #running = 0
  #prefilling = false
  /** Number of crashes. */
  crashes = 0
  /** Tokens held now, and at most. */
  heldTokens = 0
  peakHeldTokens = 0
  #prefillingJobs: readonly EngineJob[] = []

  constructor (options: BatchEngineOptions) {
    this.#options = options
  }

  /** Returns whether a prompt part is in the prefix cache. */
  hasCached (key: string): boolean { return this.#cachedParts.has(key) }
  /** Number of requests running or waiting for a slot. */
  get open (): number { return this.#running + this.#slotQueue.length }

  /** Prompt tokens that wait to be prefilled, those of the prompt under way included in full. */
  get unreadTokens (): number {
    return [...this.#slotQueue, ...this.#prefillQueue, ...this.#prefillingJobs].reduce((sum, job) => sum + this.#uncachedTokens(job), 0)
  }

  /** Accepts a request, or returns false without running any of it if the engine is full. */
  trySubmit (job: EngineJob): boolean {
    if (this.open >= this.#options.slots + this.#options.queue) return false
    this.#open.add(job)
    this.heldTokens += job.heldTokens ?? 0
    this.peakHeldTokens = Math.max(this.peakHeldTokens, this.heldTokens)
    if (this.heldTokens > (this.#options.memoryTokens ?? Infinity)) {
      this.#crash()
      return true
    }
    this.#slotQueue.push(job)
    this.#admit()
    return true
  }

  #crash (): void {
    const lost = [...this.#open]
    this.crashes++
    this.heldTokens = this.#running = 0
    this.#prefilling = false
    this.#open.clear()
    this.#slotQueue.length = this.#prefillQueue.length = 0
    for (const job of lost) job.onLost?.()
  }

  #admit (): void {
    while (this.#running < this.#options.slots && this.#slotQueue.length > 0) {
      this.#running++
      this.#prefillQueue.push(removeMostUrgent(this.#slotQueue))
      this.#prefillNext()
    }
  }

  #prefillNext (): void {
    if (this.#prefilling || this.#prefillQueue.length === 0) return
    this.#prefilling = true
    const job = removeMostUrgent(this.#prefillQueue)
    if (job.isWanted?.() === false) return this.#drop(job)
    this.#prefillingJobs = [job]
    setTimeout(() => {
      if (!this.#open.has(job)) return
      this.#prefilling = false
      this.#prefillingJobs = []
      for (const { key } of job.parts) this.#cachedParts.add(key)
      setTimeout(() => this.#decode(job), this.#options.firstMs)
      this.#prefillNext()
    }, this.#uncachedTokens(job) / this.#options.readTokensPerMs)
  }

  #drop (job: EngineJob): void {
    this.#prefilling = false
    this.#running--
    job.onEnd()
    this.#admit()
    this.#prefillNext()
  }

  #decode (job: EngineJob): void {
    if (!this.#open.has(job)) return
    job.onFirstPiece()
    const { pieceMs, pieceMsPerRequest } = this.#options
    setTimeout(() => {
      if (!this.#open.delete(job)) return
      this.heldTokens -= job.heldTokens ?? 0
      this.#running--
      job.onEnd()
      this.#admit()
    }, (job.pieces - 1) * (pieceMs + pieceMsPerRequest * this.#running))
  }

  #uncachedTokens ({ parts, promptTokens }: EngineJob): number {
    return promptTokens - parts.filter(({ key }) => this.#cachedParts.has(key)).reduce((sum, { tokens }) => sum + tokens, 0)
  }
}

function removeMostUrgent (jobs: EngineJob[]): EngineJob {
  const first = jobs.reduce((best, job) => (LANES.indexOf(job.lane) < LANES.indexOf(best.lane) ? job : best))
  jobs.splice(jobs.indexOf(first), 1)
  return first
}
