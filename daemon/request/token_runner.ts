/** Runs attempts of requests at model engines, which stream tokens, and at plain services, which return one text. */
import type { RequestId } from '../../core/ids/index.ts'
import type { AttemptError } from '../../core/outcome/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import type { Attachment, AttemptRunner, AttemptSink, AttemptSpec, ModelEngine, PlainService, StopReport } from '../../endpoints/index.ts'

/** Runs attempts that this or another daemon can resume. */
export interface TokenRunner extends AttemptRunner<string> {
  /** The caller's input. */
  readonly input: string
  /** Resumes receiving a running attempt from an offset in the answer. */
  resume (view: EndpointView, at: { attempt: number, from: number }, sink: AttemptSink<string>): Attachment
}

/** Options of {@linkcode EngineRunner} and {@linkcode ServiceRunner}. */
export interface TokenRunnerOptions {
  id: RequestId
  input: string
  maxTokens: number
  urgent: boolean
}

/** How long an engine keeps a stream that nobody reads, in milliseconds: longer than it takes to confirm that a daemon is gone. */
const STREAM_KEPT_MS = 30_000
const PRIORITY_URGENT = 10
const PRIORITY_NORMAL = 1
/** Shortest timeout of a plain call, in milliseconds. With a shorter one, calls fail before the connection is established. */
const MIN_CALL_MS = 250
const NO_ATTACHMENT: Attachment = { detach: () => {} }

/** Runs the attempts of one request at model engines. */
export class EngineRunner implements TokenRunner {
  readonly #options: TokenRunnerOptions
  readonly #engine: (view: EndpointView) => ModelEngine

  constructor (options: TokenRunnerOptions, engine: (view: EndpointView) => ModelEngine) {
    this.#options = options
    this.#engine = engine
  }

  get input (): string { return this.#options.input }

  start (view: EndpointView, spec: AttemptSpec<string>, sink: AttemptSink<string>): Attachment {
    const { input, maxTokens, urgent } = this.#options
    return this.#engine(view).start({
      streamId: this.#streamId(spec.attempt),
      prompt: input,
      done: [...spec.done],
      maxTokens,
      keepMs: STREAM_KEPT_MS,
      priority: urgent ? PRIORITY_URGENT : PRIORITY_NORMAL,
      ...(spec.kvHandle !== undefined && { kvHandle: spec.kvHandle })
    }, sink)
  }

  resume (view: EndpointView, at: { attempt: number, from: number }, sink: AttemptSink<string>): Attachment {
    return this.#engine(view).resume(this.#streamId(at.attempt), at.from, sink)
  }

  async stop (view: EndpointView, attempt: number, from: number): Promise<StopReport> {
    return await this.#engine(view).cancel(this.#streamId(attempt), from)
  }

  #streamId (attempt: number): string {
    return `${this.#options.id}.${attempt}`
  }
}

/** Runs the attempts of one request at plain services. */
export class ServiceRunner implements TokenRunner {
  readonly #options: TokenRunnerOptions
  readonly #service: (view: EndpointView) => PlainService

  constructor (options: TokenRunnerOptions, service: (view: EndpointView) => PlainService) {
    this.#options = options
    this.#service = service
  }

  get input (): string { return this.#options.input }

  start (view: EndpointView, spec: AttemptSpec<string>, sink: AttemptSink<string>): Attachment {
    const timeoutMs = Math.max(MIN_CALL_MS, spec.deadlineInMs)
    this.#service(view).call({ requestId: this.#options.id, input: this.input, timeoutMs, onSignals: (signals) => sink.onSignals?.(signals) }).then((text) => {
      sink.onChunk(0, [text])
      sink.onEnd(1)
    }, (err: AttemptError) => sink.onError(err))
    return NO_ATTACHMENT
  }

  resume (): Attachment {
    return NO_ATTACHMENT
  }

  async stop (): Promise<StopReport> {
    return { stopped: false, pieces: [] }
  }
}
