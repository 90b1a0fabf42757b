/** Stand-in for a plain service: every call has an effect that must not happen twice. */
import { AttemptError } from '../core/outcome/index.ts'
import type { PlainService, ServiceCall } from '../endpoints/index.ts'
import { serviceAnswer } from './answers.ts'
import type { Ledger } from './ledger.ts'

/** Faults, all off at first. */
export interface ServiceFaults {
  refuse: boolean
  /** Calls that will take effect without an answer. */
  loseAnswers: number
}

/** One plain service. */
export class StandInService implements PlainService {
  readonly faults: ServiceFaults = { refuse: false, loseAnswers: 0 }
  readonly #ledger: Ledger
  readonly #latencyMs: number
  readonly #pending = new Set<(err: AttemptError) => void>()
  #dead = false
  #taken = 0

  constructor (options: { ledger: Ledger, latencyMs: number }) {
    this.#ledger = options.ledger
    this.#latencyMs = options.latencyMs
  }

  /** Calls in progress. */
  get running (): number { return this.#pending.size }
  /** Calls that the service took. */
  get taken (): number { return this.#taken }
  /** False once the host is gone. */
  get alive (): boolean { return !this.#dead }

  async call (call: ServiceCall): Promise<string> {
    if (this.#dead) throw new AttemptError('Cannot call service: connection refused', { point: 'connect-refused' })
    if (this.faults.refuse) throw new AttemptError('Cannot call service: host is leaving', { point: 'endpoint-leaving' })
    this.#ledger.executed(call.input)
    this.#taken++
    await this.#work()
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers--
      throw new AttemptError('Cannot call service: connection reset', { point: 'reset-after-send' })
    }
    return serviceAnswer(call.input)
  }

  /** The host is gone: calls in progress break. */
  die (): void {
    this.#dead = true
    for (const fail of this.#pending) fail(new AttemptError('Cannot call service: connection reset', { point: 'reset-after-send' }))
    this.#pending.clear()
  }

  #work (): Promise<void> {
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
