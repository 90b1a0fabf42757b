/** Runs the attempts of one proxied request. */
import { backsOff, type EndpointView } from '../../core/routing/index.ts'
import type { MemoryAccount } from '../../core/memory/index.ts'
import { AttemptError } from '../../core/outcome/index.ts'
import { steadyNow, type PollWatch } from '../../core/time/index.ts'
import type { Attachment, AttemptRunner, AttemptSink, AttemptSpec, StopReport } from '../attempt.ts'
import type { EndCheck } from './end_check.ts'
import { Exchange } from './exchange.ts'
import type { ExchangeClient } from './exchange_client.ts'
import type { ExchangeDialect } from './exchange_dialect.ts'
import type { AdmittedRequest } from './proxied_request.ts'

/** Options of {@linkcode ExchangeRunner}. */
export interface ExchangeRunnerOptions {
  req: AdmittedRequest
  client: ExchangeClient
  dialect: ExchangeDialect
  /** Checks whether an endpoint is still running after it ended a connection. Default: it is. */
  checkEnd?: EndCheck | undefined
  /** Counts the bytes that are buffered. Default: they are not counted. */
  memory?: MemoryAccount | undefined
  /** Tells whether callers may have left unnoticed. Default: they never have. */
  poll?: PollWatch | undefined
}

const NO_ATTACHMENT: Attachment = { detach: () => {} }

/** Forwards a caller's request to endpoints and returns their answers, bytes unchanged. */
export class ExchangeRunner implements AttemptRunner<Buffer> {
  readonly #options: ExchangeRunnerOptions
  /** True once an event of the stream is known to have an id, which a caller that resumes the stream has. */
  #haveIds: boolean

  constructor (options: ExchangeRunnerOptions) {
    this.#options = options
    this.#haveIds = options.req.resumeFrom > 0
  }

  start (view: EndpointView, spec: AttemptSpec<Buffer>, sink: AttemptSink<Buffer>): Attachment {
    const { req, client, dialect, memory, poll, checkEnd = async () => 'alive' } = this.#options
    const connection = client.acquire(view)
    if (!connection) {
      // Reported asynchronously like every other failure, because the task has not recorded the attempt yet.
      queueMicrotask(() => sink.onError(new AttemptError('Cannot send: no connection is free', { point: 'before-send' })))
      return NO_ATTACHMENT
    }
    const headers = dialect.attemptHeaders(req, { view, deadlineInMs: spec.deadlineInMs, resumeFrom: spec.from, lane: req.demand && spec.lane, kvHandle: spec.kvHandle })
    const exchange = new Exchange({ req, dialect, sink, connection, memory, poll, from: spec.from, haveIds: this.#haveIds || spec.from > 0, onIds: () => { this.#haveIds = true }, maySend: () => !backsOff(view, steadyNow()), checkEnd: () => checkEnd(view), release: () => client.release(view, connection) })
    exchange.send(headers)
    return exchange
  }

  /** Does nothing: the only way to stop an attempt is to close its connection, which the endpoint does not confirm. */
  async stop (): Promise<StopReport<Buffer>> {
    return { stopped: true, pieces: [] }
  }
}
