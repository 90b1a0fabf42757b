/** A model engine in virtual time: batch slots, a short queue, prompts read one after the other by urgency. */
import { LANES, type Lane } from '../core/routing/index.ts'
import type { PromptPart } from '../core/work/index.ts'

/** Options of {@linkcode BatchEngine}. */
export interface BatchEngineOptions {
  slots: number
  /** Requests that wait for a slot; any beyond are refused. */
  queue: number
  readTokensPerMs: number
  /** Beside reading, until the first piece, in milliseconds. */
  firstMs: number
  /** Between two pieces of an empty engine, and what each request beside adds, in milliseconds. */
  pieceMs: number
  pieceMsPerRequest: number
}

/** One request at an engine. */
export interface EngineJob {
  lane: Lane
  parts: readonly PromptPart[]
  promptTokens: number
  pieces: number
  onFirst (): void
  onEnd (): void
}

/** One engine. Its clock is the runtime's, which the caller advances. */
export class BatchEngine {
  readonly #options: BatchEngineOptions
  readonly #kept = new Set<string>()
  readonly #waiting: EngineJob[] = []
  readonly #unread: EngineJob[] = []
  #running = 0
  #reading = false

  constructor (options: BatchEngineOptions) {
    this.#options = options
  }

  /** Whether it keeps a part of a prompt. */
  keeps (key: string): boolean { return this.#kept.has(key) }
  /** Requests that run or wait. */
  get open (): number { return this.#running + this.#waiting.length }

  /** Takes a request; false when it is full, and nothing of it runs. */
  take (job: EngineJob): boolean {
    if (this.open >= this.#options.slots + this.#options.queue) return false
    this.#waiting.push(job)
    this.#admit()
    return true
  }

  #admit (): void {
    while (this.#running < this.#options.slots && this.#waiting.length > 0) {
      this.#running++
      this.#unread.push(takeMostUrgent(this.#waiting))
      this.#read()
    }
  }

  #read (): void {
    if (this.#reading || this.#unread.length === 0) return
    this.#reading = true
    const job = takeMostUrgent(this.#unread)
    setTimeout(() => {
      this.#reading = false
      for (const { key } of job.parts) this.#kept.add(key)
      setTimeout(() => this.#write(job), this.#options.firstMs)
      this.#read()
    }, this.#uncached(job) / this.#options.readTokensPerMs)
  }

  #write (job: EngineJob): void {
    job.onFirst()
    const { pieceMs, pieceMsPerRequest } = this.#options
    setTimeout(() => {
      this.#running--
      job.onEnd()
      this.#admit()
    }, (job.pieces - 1) * (pieceMs + pieceMsPerRequest * this.#running))
  }

  #uncached ({ parts, promptTokens }: EngineJob): number {
    return promptTokens - parts.filter(({ key }) => this.#kept.has(key)).reduce((sum, { tokens }) => sum + tokens, 0)
  }
}

function takeMostUrgent (jobs: EngineJob[]): EngineJob {
  const first = jobs.reduce((best, job) => (LANES.indexOf(job.lane) < LANES.indexOf(best.lane) ? job : best))
  jobs.splice(jobs.indexOf(first), 1)
  return first
}
