/** Stand-in for a plain service whose calls have side effects that must not be repeated. */
import { AttemptError } from '../core/outcome/index.ts'
import type { PlainService, ServiceCall } from '../endpoints/index.ts'
import { serviceAnswer } from './answers.ts'
import type { Ledger } from './ledger.ts'

/** Injectable faults, all disabled by default. */
export interface ServiceFaults {
  refuse: boolean
  /** Number of upcoming calls that are executed but whose answer is lost. */
  loseAnswers: number
}

/** In-memory plain service that records every execution in the {@linkcode Ledger}. */
export class StandInService implements PlainService {
  readonly faults: ServiceFaults = { refuse: false, loseAnswers: 0 }
  readonly #ledger: Ledger
  readonly #latencyMs: number
  readonly #pending = new Set<(err: AttemptError) => void>()
  #terminated = false
  #acceptedCount = 0

  constructor (options: { ledger: Ledger, latencyMs: number }) {
    this.#ledger = options.ledger
    this.#latencyMs = options.latencyMs
  }

  /** Number of calls in progress. */
  get running (): number { return this.#pending.size }
  /** Number of calls accepted since the start. */
  get acceptedCount (): number { return this.#acceptedCount }
  /** False once the host has been stopped. */
  get alive (): boolean { return !this.#terminated }

  async call (call: ServiceCall): Promise<string> {
    if (this.#terminated) throw new AttemptError('Cannot call service: connection refused', { point: 'connect-refused' })
    if (this.faults.refuse) throw new AttemptError('Cannot call service: host is leaving', { point: 'endpoint-leaving' })
    this.#ledger.recordExecution(call.input)
    this.#acceptedCount++
    await this.#waitForCompletion()
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers--
      throw new AttemptError('Cannot call service: connection reset', { point: 'reset-after-send' })
    }
    return serviceAnswer(call.input)
  }

  /** Simulates the loss of the host: calls in progress fail with a connection reset. */
  terminate (): void {
    this.#terminated = true
    for (const fail of this.#pending) fail(new AttemptError('Cannot call service: connection reset', { point: 'reset-after-send' }))
    this.#pending.clear()
  }

  #waitForCompletion (): Promise<void> {
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.#pending.delete(fail)
        resolve()
      }, this.#latencyMs)
      const fail = (err: AttemptError) => {
        clearTimeout(timer)
        reject(err)
      }
      this.#pending.add(fail)
    })
  }
}
