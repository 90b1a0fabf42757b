/** Stand-in for a model engine with continuous batching, a prefix cache, and KV cache export and import; uses the timers of the runtime. */
import { AttemptError } from '../core/outcome/index.ts'
import type { EndpointLoad, EndpointSpeed } from '../core/routing/index.ts'
import { estimateTokens } from '../core/work/index.ts'
import type { Attachment, EngineOrder, ModelEngine, StopReport, StreamSink, StreamSpec } from '../endpoints/index.ts'
import { answerToken } from './answers.ts'
import type { Ledger } from './ledger.ts'

/** Injectable faults and states, all disabled by default. */
export interface EngineFaults {
  /** Refuses new streams, as a host that is leaving does. */
  refuse: boolean
  /** Leaves cancel requests unanswered: they fail with a timeout. */
  ignoreCancel: boolean
  /** Number of upcoming KV exports that fail during the transfer. */
  failExports: number
  /** Number of upcoming chunks that are sent twice. */
  doubleChunks: number
  /** Accepts orders with an outdated fencing token. */
  ignoreFencing: boolean
}

/** Options of {@linkcode StandInEngine}. */
export interface StandInEngineOptions {
  address: string
  speed: EndpointSpeed
  ledger: Ledger
  /** Looks up the target engine of a KV export by address. */
  peers: (address: string) => StandInEngine | undefined
  /** Capacity of the prefix cache in prompt tokens. Default 60,000. */
  cacheTokens?: number
}

interface EngineStream {
  spec: StreamSpec
  sink: StreamSink | undefined
  produced: number
  sent: number
  phase: 'queued' | 'decoding' | 'exporting'
}

/** KV cache received from another engine, not yet claimed by a stream. */
interface ImportedKv { work: string, kvTokens: number }

/** In-memory model engine. */
export class StandInEngine implements ModelEngine {
  readonly faults: EngineFaults = { refuse: false, ignoreCancel: false, failExports: 0, doubleChunks: 0, ignoreFencing: false }
  readonly address: string
  readonly #options: StandInEngineOptions
  readonly #streams = new Map<string, EngineStream>()
  readonly #importedKv = new Map<string, ImportedKv>()
  readonly #prefixCache = new Map<string, number>()
  #prefilling = false
  #exportsFreeAtMs = 0
  #stepTimer: NodeJS.Timeout | undefined
  #terminated = false
  #order: EngineOrder | undefined
  #refusedAtMs: number[] = []
  #acceptedCount = 0

  constructor (options: StandInEngineOptions) {
    this.#options = options
    this.address = options.address
  }

  /** Number of open streams, queued ones included. */
  get running (): number { return this.#streams.size }
  /** Number of streams accepted since the start. */
  get acceptedCount (): number { return this.#acceptedCount }
  /** Times at which new streams were refused because the host is leaving, in milliseconds since the epoch. */
  get refusedAtMs (): readonly number[] { return this.#refusedAtMs }
  /** False once the host has been stopped. */
  get alive (): boolean { return !this.#terminated }

  start (spec: StreamSpec, sink: StreamSink): Attachment {
    const refusal = this.#refusal(spec)
    if (refusal) {
      queueMicrotask(() => sink.onError(refusal))
      return { detach () {} }
    }
    const stream: EngineStream = { spec, sink, produced: spec.done.length, sent: spec.done.length, phase: 'queued' }
    this.#streams.set(spec.streamId, stream)
    this.#acceptedCount++
    if (spec.kvHandle !== undefined) this.#startFromImport(stream)
    else this.#prefillNext()
    return this.#attachment(stream)
  }

  resume (streamId: string, from: number, sink: StreamSink): Attachment {
    const stream = this.#streams.get(streamId)
    if (this.#terminated || !stream) {
      const point = this.#terminated ? 'connect-refused' : 'endpoint-error'
      queueMicrotask(() => sink.onError(new AttemptError('Cannot resume stream: unknown stream', { point })))
      return { detach () {} }
    }
    stream.sink?.onError(new AttemptError('Cannot read stream: another reader resumed it', { point: 'reset-after-send' }))
    stream.sink = sink
    stream.sent = from
    this.#send(stream)
    return this.#attachment(stream)
  }

  async cancel (streamId: string, from: number): Promise<StopReport> {
    if (this.#terminated || this.faults.ignoreCancel) throw new AttemptError('Cannot cancel stream: no answer', { point: 'timeout-after-send' })
    const stream = this.#streams.get(streamId)
    if (!stream) return { stopped: true, pieces: [] }
    this.#streams.delete(streamId)
    return { stopped: true, pieces: tokensOf(stream, from, stream.produced) }
  }

  async exportKv (streamId: string, toAddress: string): Promise<string> {
    const stream = this.#streams.get(streamId)
    const target = this.#options.peers(toAddress)
    if (!stream || stream.phase !== 'decoding' || !target || !target.alive) {
      throw new AttemptError('Cannot export KV cache: stream is not decoding or target is unavailable', { point: 'endpoint-said-not-run' })
    }
    stream.phase = 'exporting'
    const kvTokens = estimateTokens(stream.spec.prompt) + stream.produced
    const now = Date.now()
    this.#exportsFreeAtMs = Math.max(now, this.#exportsFreeAtMs) + kvTokens * 1000 / this.#options.speed.exportTokensPerS
    await new Promise((resolve) => setTimeout(resolve, this.#exportsFreeAtMs - now))
    return this.#finishExport(stream, target, kvTokens)
  }

  async load (): Promise<EndpointLoad> {
    if (this.#terminated) throw new AttemptError('Cannot read load: connection refused', { point: 'connect-refused' })
    return this.#load()
  }

  async order (order: EngineOrder): Promise<void> {
    const outdated = this.#order !== undefined && order.fencing < this.#order.fencing
    if (outdated && !this.faults.ignoreFencing) throw new AttemptError('Cannot take order: fencing number is old', { point: 'endpoint-said-not-run' })
    this.#order = order
  }

  async orders (): Promise<EngineOrder | undefined> {
    return this.#order
  }

  /** Simulates the loss of the host: open streams are reset and new connections are refused. */
  terminate (): void {
    this.#terminated = true
    clearTimeout(this.#stepTimer)
    for (const stream of this.#streams.values()) stream.sink?.onError(new AttemptError('Cannot read stream: connection reset', { point: 'reset-after-send' }))
    this.#streams.clear()
  }

  #refusal (spec: StreamSpec): AttemptError | undefined {
    if (this.#terminated) return new AttemptError('Cannot start stream: connection refused', { point: 'connect-refused' })
    if (this.faults.refuse) {
      this.#refusedAtMs.push(Date.now())
      return new AttemptError('Cannot start stream: host is leaving', { point: 'endpoint-leaving' })
    }
    if (spec.kvHandle !== undefined && !this.#importedKv.has(spec.kvHandle)) {
      return new AttemptError('Cannot start stream: unknown KV cache handle', { point: 'endpoint-said-not-run' })
    }
    return undefined
  }

  #startFromImport (stream: EngineStream): void {
    this.#importedKv.delete(stream.spec.kvHandle!)
    stream.phase = 'decoding'
    this.#cachePrefix(stream.spec.prompt)
    this.#scheduleStep()
  }

  #finishExport (stream: EngineStream, target: StandInEngine, kvTokens: number): string {
    if (this.#terminated || !this.#streams.has(stream.spec.streamId)) throw new AttemptError('Cannot export KV cache: stream ended during the transfer', { point: 'reset-after-send' })
    if (this.faults.failExports > 0 || !target.alive) {
      this.faults.failExports = Math.max(0, this.faults.failExports - 1)
      stream.phase = 'decoding'
      this.#scheduleStep()
      throw new AttemptError('Cannot export KV cache: transfer failed', { point: 'endpoint-said-not-run' })
    }
    this.#streams.delete(stream.spec.streamId)
    const handle = `kv-${stream.spec.streamId}`
    target.#importedKv.set(handle, { work: stream.spec.prompt, kvTokens })
    return handle
  }

  async #prefillNext (): Promise<void> {
    if (this.#prefilling || this.#terminated) return
    const next = this.#nextQueued()
    if (!next) return
    this.#prefilling = true
    const kvTokens = estimateTokens(next.spec.prompt) + next.spec.done.length
    const tokens = Math.max(0, kvTokens - this.#cachedTokens(next.spec.prompt))
    await new Promise((resolve) => setTimeout(resolve, tokens * 1000 / this.#options.speed.prefillTokensPerS))
    this.#prefilling = false
    if (this.#terminated) return
    if (this.#streams.get(next.spec.streamId) === next) {
      this.#options.ledger.recordComputed(next.spec.prompt, tokens, kvTokens)
      this.#cachePrefix(next.spec.prompt)
      next.phase = 'decoding'
      this.#scheduleStep()
    }
    this.#prefillNext()
  }

  #nextQueued (): EngineStream | undefined {
    const decoding = [...this.#streams.values()].filter((stream) => stream.phase !== 'queued').length
    if (decoding >= this.#options.speed.batchSlots) return undefined
    const queued = [...this.#streams.values()].filter((stream) => stream.phase === 'queued')
    return queued.sort((a, b) => b.spec.priority - a.spec.priority)[0]
  }

  #scheduleStep (): void {
    if (this.#stepTimer !== undefined || this.#terminated) return
    const decoding = [...this.#streams.values()].filter((stream) => stream.phase === 'decoding').length
    if (decoding === 0) return
    const ms = this.#options.speed.betweenTokensMs + this.#options.speed.betweenTokensPerStreamMs * decoding
    this.#stepTimer = setTimeout(() => this.#step(), ms)
  }

  #step (): void {
    this.#stepTimer = undefined
    for (const stream of this.#streams.values()) {
      if (stream.phase === 'decoding') this.#produce(stream)
    }
    this.#scheduleStep()
    this.#prefillNext()
  }

  #produce (stream: EngineStream): void {
    const { spec } = stream
    if (stream.produced < spec.maxTokens) {
      if (stream.produced === 0) this.#options.ledger.recordExecution(spec.prompt)
      stream.produced++
      const kvTokens = estimateTokens(spec.prompt) + stream.produced
      this.#options.ledger.recordComputed(spec.prompt, 1, kvTokens)
    }
    this.#send(stream)
  }

  #send (stream: EngineStream): void {
    if (!stream.sink) return
    const tokens = tokensOf(stream, stream.sent, stream.produced)
    const offset = stream.sent
    stream.sent = stream.produced
    if (tokens.length > 0) stream.sink.onChunk(offset, tokens)
    if (tokens.length > 0 && this.faults.doubleChunks > 0) {
      this.faults.doubleChunks--
      stream.sink?.onChunk(offset, tokens)
    }
    if (stream.produced < stream.spec.maxTokens) return
    this.#streams.delete(stream.spec.streamId)
    stream.sink?.onLoad(this.#load())
    stream.sink?.onEnd(stream.spec.maxTokens)
  }

  #attachment (stream: EngineStream): Attachment {
    const sink = stream.sink
    return {
      detach: () => {
        if (stream.sink !== sink) return
        stream.sink = undefined
        setTimeout(() => { if (!stream.sink) this.#streams.delete(stream.spec.streamId) }, stream.spec.keepMs).unref?.()
      }
    }
  }

  #load (): EndpointLoad {
    const queued = [...this.#streams.values()].filter((stream) => stream.phase === 'queued')
    const queuedTokens = queued.reduce((sum, stream) => sum + estimateTokens(stream.spec.prompt) + stream.spec.done.length, 0)
    return { running: this.#streams.size, queuedTokens, atMs: Date.now() }
  }

  #cachedTokens (prompt: string): number {
    let best = 0
    for (const cached of this.#prefixCache.keys()) {
      if (prompt.startsWith(cached)) best = Math.max(best, estimateTokens(cached))
    }
    return best
  }

  /** Caches the first half of a prompt, which other prompts may share; evicts the least recently added prefixes first. */
  #cachePrefix (prompt: string): void {
    const prefix = prompt.slice(0, Math.floor(prompt.length / 2))
    this.#prefixCache.delete(prefix)
    this.#prefixCache.set(prefix, estimateTokens(prefix))
    let total = [...this.#prefixCache.values()].reduce((sum, tokens) => sum + tokens, 0)
    for (const [oldest, tokens] of this.#prefixCache) {
      if (total <= (this.#options.cacheTokens ?? 60_000)) return
      this.#prefixCache.delete(oldest)
      total -= tokens
    }
  }
}

function tokensOf (stream: EngineStream, from: number, to: number): string[] {
  const tokens: string[] = []
  for (let i = from; i < to; i++) tokens.push(answerToken(stream.spec.prompt, i))
  return tokens
}
