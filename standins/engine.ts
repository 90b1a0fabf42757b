/** Stand-in for a model engine: continuous batching, prefix cache, KV export and import, on the runtime's clock. */
import { AttemptError } from '../core/outcome/index.ts'
import type { EndpointLoad, EndpointSpeed } from '../core/routing/index.ts'
import { estimateTokens } from '../core/work/index.ts'
import type { Attachment, EngineOrder, ModelEngine, StopReport, StreamSink, StreamSpec } from '../endpoints/index.ts'
import { answerToken } from './answers.ts'
import type { Ledger } from './ledger.ts'

/** Faults and states, all off at first. */
export interface EngineFaults {
  /** Refuses new streams, as a host that is leaving does. */
  refuse: boolean
  /** Does not answer cancel orders. */
  ignoreCancel: boolean
  /** Exports that will fail half way. */
  failExports: number
  /** Chunks that will be sent twice. */
  doubleChunks: number
  /** Takes orders with an old fencing number. */
  ignoreFencing: boolean
}

/** Options of {@linkcode StandInEngine}. */
export interface StandInEngineOptions {
  address: string
  speed: EndpointSpeed
  ledger: Ledger
  /** Finds another engine for a KV export. */
  peers: (address: string) => StandInEngine | undefined
  /** Prompt tokens that the prefix cache holds. Default 60,000. */
  cacheTokens?: number
}

interface Running {
  spec: StreamSpec
  sink: StreamSink | undefined
  produced: number
  sent: number
  phase: 'queued' | 'decoding' | 'exporting'
}

/** KV cache of a stream while it is moved. */
interface Import { work: string, kvTokens: number }

/** One engine. */
export class StandInEngine implements ModelEngine {
  readonly faults: EngineFaults = { refuse: false, ignoreCancel: false, failExports: 0, doubleChunks: 0, ignoreFencing: false }
  readonly address: string
  readonly #options: StandInEngineOptions
  readonly #streams = new Map<string, Running>()
  readonly #imports = new Map<string, Import>()
  readonly #cache = new Map<string, number>()
  #prefilling = false
  #exportsFreeAtMs = 0
  #stepTimer: NodeJS.Timeout | undefined
  #dead = false
  #order: EngineOrder | undefined
  #refusedAtMs: number[] = []
  #taken = 0

  constructor (options: StandInEngineOptions) {
    this.#options = options
    this.address = options.address
  }

  /** Streams the engine holds. */
  get running (): number { return this.#streams.size }
  /** Streams that the engine took. */
  get taken (): number { return this.#taken }
  /** When new streams were refused because the host is leaving, in milliseconds since the epoch. */
  get refusedAtMs (): readonly number[] { return this.#refusedAtMs }
  /** False once the host is gone. */
  get alive (): boolean { return !this.#dead }

  start (spec: StreamSpec, sink: StreamSink): Attachment {
    const refusal = this.#refusal(spec)
    if (refusal) {
      queueMicrotask(() => sink.onError(refusal))
      return { detach () {} }
    }
    const stream: Running = { spec, sink, produced: spec.done.length, sent: spec.done.length, phase: 'queued' }
    this.#streams.set(spec.streamId, stream)
    this.#taken++
    if (spec.kvHandle !== undefined) this.#takeImport(stream)
    else this.#prefillNext()
    return this.#attachment(stream)
  }

  resume (streamId: string, from: number, sink: StreamSink): Attachment {
    const stream = this.#streams.get(streamId)
    if (this.#dead || !stream) {
      const point = this.#dead ? 'connect-refused' : 'endpoint-error'
      queueMicrotask(() => sink.onError(new AttemptError('Cannot resume stream: it is not here', { point })))
      return { detach () {} }
    }
    stream.sink?.onError(new AttemptError('Cannot read stream: another reader resumed it', { point: 'reset-after-send' }))
    stream.sink = sink
    stream.sent = from
    this.#send(stream)
    return this.#attachment(stream)
  }

  async cancel (streamId: string, from: number): Promise<StopReport> {
    if (this.#dead || this.faults.ignoreCancel) throw new AttemptError('Cannot cancel stream: no answer', { point: 'timeout-after-send' })
    const stream = this.#streams.get(streamId)
    if (!stream) return { stopped: true, pieces: [] }
    this.#streams.delete(streamId)
    return { stopped: true, pieces: tokensOf(stream, from, stream.produced) }
  }

  async exportKv (streamId: string, toAddress: string): Promise<string> {
    const stream = this.#streams.get(streamId)
    const target = this.#options.peers(toAddress)
    if (!stream || stream.phase !== 'decoding' || !target || !target.alive) {
      throw new AttemptError('Cannot export KV cache: stream or target is not there', { point: 'endpoint-said-not-run' })
    }
    stream.phase = 'exporting'
    const kvTokens = estimateTokens(stream.spec.prompt) + stream.produced
    const now = Date.now()
    this.#exportsFreeAtMs = Math.max(now, this.#exportsFreeAtMs) + kvTokens * 1000 / this.#options.speed.exportTokensPerS
    await new Promise((resolve) => setTimeout(resolve, this.#exportsFreeAtMs - now))
    return this.#finishExport(stream, target, kvTokens)
  }

  async load (): Promise<EndpointLoad> {
    if (this.#dead) throw new AttemptError('Cannot read load: connection refused', { point: 'connect-refused' })
    return this.#load()
  }

  async order (order: EngineOrder): Promise<void> {
    const old = this.#order !== undefined && order.fencing < this.#order.fencing
    if (old && !this.faults.ignoreFencing) throw new AttemptError('Cannot take order: fencing number is old', { point: 'endpoint-said-not-run' })
    this.#order = order
  }

  async orders (): Promise<EngineOrder | undefined> {
    return this.#order
  }

  /** The host is gone: every stream breaks and nothing connects. */
  die (): void {
    this.#dead = true
    clearTimeout(this.#stepTimer)
    for (const stream of this.#streams.values()) stream.sink?.onError(new AttemptError('Cannot read stream: connection reset', { point: 'reset-after-send' }))
    this.#streams.clear()
  }

  #refusal (spec: StreamSpec): AttemptError | undefined {
    if (this.#dead) return new AttemptError('Cannot start stream: connection refused', { point: 'connect-refused' })
    if (this.faults.refuse) {
      this.#refusedAtMs.push(Date.now())
      return new AttemptError('Cannot start stream: host is leaving', { point: 'endpoint-leaving' })
    }
    if (spec.kvHandle !== undefined && !this.#imports.has(spec.kvHandle)) {
      return new AttemptError('Cannot start stream: no such KV cache', { point: 'endpoint-said-not-run' })
    }
    return undefined
  }

  #takeImport (stream: Running): void {
    this.#imports.delete(stream.spec.kvHandle!)
    stream.phase = 'decoding'
    this.#remember(stream.spec.prompt)
    this.#schedule()
  }

  #finishExport (stream: Running, target: StandInEngine, kvTokens: number): string {
    if (this.#dead || !this.#streams.has(stream.spec.streamId)) throw new AttemptError('Cannot export KV cache: stream ended meanwhile', { point: 'reset-after-send' })
    if (this.faults.failExports > 0 || !target.alive) {
      this.faults.failExports = Math.max(0, this.faults.failExports - 1)
      stream.phase = 'decoding'
      this.#schedule()
      throw new AttemptError('Cannot export KV cache: transfer broke', { point: 'endpoint-said-not-run' })
    }
    this.#streams.delete(stream.spec.streamId)
    const handle = `kv-${stream.spec.streamId}`
    target.#imports.set(handle, { work: stream.spec.prompt, kvTokens })
    return handle
  }

  async #prefillNext (): Promise<void> {
    if (this.#prefilling || this.#dead) return
    const next = this.#nextQueued()
    if (!next) return
    this.#prefilling = true
    const kvTokens = estimateTokens(next.spec.prompt) + next.spec.done.length
    const tokens = Math.max(0, kvTokens - this.#cachedTokens(next.spec.prompt))
    await new Promise((resolve) => setTimeout(resolve, tokens * 1000 / this.#options.speed.prefillTokensPerS))
    this.#prefilling = false
    if (this.#dead) return
    if (this.#streams.get(next.spec.streamId) === next) {
      this.#options.ledger.computed(next.spec.prompt, tokens, kvTokens)
      this.#remember(next.spec.prompt)
      next.phase = 'decoding'
      this.#schedule()
    }
    this.#prefillNext()
  }

  #nextQueued (): Running | undefined {
    const decoding = [...this.#streams.values()].filter((stream) => stream.phase !== 'queued').length
    if (decoding >= this.#options.speed.batchSlots) return undefined
    const queued = [...this.#streams.values()].filter((stream) => stream.phase === 'queued')
    return queued.sort((a, b) => b.spec.priority - a.spec.priority)[0]
  }

  #schedule (): void {
    if (this.#stepTimer !== undefined || this.#dead) return
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
    this.#schedule()
    this.#prefillNext()
  }

  #produce (stream: Running): void {
    const { spec } = stream
    if (stream.produced < spec.maxTokens) {
      if (stream.produced === 0) this.#options.ledger.executed(spec.prompt)
      stream.produced++
      const kvTokens = estimateTokens(spec.prompt) + stream.produced
      this.#options.ledger.computed(spec.prompt, 1, kvTokens)
    }
    this.#send(stream)
  }

  #send (stream: Running): void {
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

  #attachment (stream: Running): Attachment {
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
    for (const cached of this.#cache.keys()) {
      if (prompt.startsWith(cached)) best = Math.max(best, estimateTokens(cached))
    }
    return best
  }

  /** Keeps the shared first half of a prompt, oldest out first. */
  #remember (prompt: string): void {
    const prefix = prompt.slice(0, Math.floor(prompt.length / 2))
    this.#cache.delete(prefix)
    this.#cache.set(prefix, estimateTokens(prefix))
    let held = [...this.#cache.values()].reduce((sum, tokens) => sum + tokens, 0)
    for (const [oldest, tokens] of this.#cache) {
      if (held <= (this.#options.cacheTokens ?? 60_000)) return
      this.#cache.delete(oldest)
      held -= tokens
    }
  }
}

function tokensOf (stream: Running, from: number, to: number): string[] {
  const tokens: string[] = []
  for (let i = from; i < to; i++) tokens.push(answerToken(stream.spec.prompt, i))
  return tokens
}
