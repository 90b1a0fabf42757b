/** Closes a daemon's port for callers to new connections while it is handed more of them than it can read in time. */
import { ConnectionGate, MAX_SAMPLED_WAIT_MS, type Acceptance } from '../../core/admission/index.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import type { ExchangeServer } from './exchange_server.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode ConnectionGateTask}. */
export interface ConnectionGateTaskOptions {
  server: Pick<ExchangeServer, 'acceptConnections' | 'measureAcceptance' | 'connections' | 'open'>
  metrics: Metrics
}

const SAMPLE_INTERVAL_MS = 100
/** Connections within an interval up to which no sample is taken while the gate is open. */
const FEW_CONNECTIONS = 4

/** Measures how long new connections wait until they are accepted. Readiness and the links to other daemons have ports of their own, which stay open. */
export class ConnectionGateTask {
  readonly #options: ConnectionGateTaskOptions
  readonly #gate = new ConnectionGate()
  #connections = 0
  #timer: NodeJS.Timeout | undefined
  #stopped = false

  constructor (options: ConnectionGateTaskOptions) {
    this.#options = options
    options.metrics.acceptsConnections.set(1)
  }

  /** Starts measuring. */
  start (): void {
    this.#measureIn(SAMPLE_INTERVAL_MS)
  }

  /** Stops measuring. */
  stop (): void {
    this.#stopped = true
    clearTimeout(this.#timer)
  }

  #measureIn (ms: number): void {
    this.#timer = setTimeout(guarded('connection-gate-task', () => this.#measure()), ms)
  }

  async #measure (): Promise<void> {
    const { server } = this.#options
    const arrived = server.connections - this.#connections
    this.#connections = server.connections
    let nextMs = SAMPLE_INTERVAL_MS
    try {
      if (!this.#gate.isOpen || this.#gate.isUndecided || arrived > FEW_CONNECTIONS) this.#sample(await server.measureAcceptance(MAX_SAMPLED_WAIT_MS))
      if (this.#gate.isOpen && this.#gate.isUndecided) nextMs = 0
    } finally {
      if (!this.#stopped) this.#measureIn(nextMs)
    }
  }

  #sample (accepted: Acceptance): void {
    const { server, metrics } = this.#options
    if (this.#stopped || !this.#gate.sample(accepted)) return
    const { isOpen } = this.#gate
    metrics.acceptsConnections.set(isOpen ? 1 : 0)
    log(isOpen ? 'connections-accepted' : 'connections-refused', { waitMs: Math.round(accepted.waitMs), ranMs: Math.round(accepted.ranMs), open: server.open })
    server.acceptConnections(isOpen)
  }
}
