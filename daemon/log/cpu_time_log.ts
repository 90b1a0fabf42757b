/** Periodic log of the daemon's CPU time and the work done in it. */
import { steadyNow } from '../../core/time/index.ts'
import type { Metrics } from '../metrics.ts'
import type { DaemonEvents } from './events.ts'
import { log } from './log.ts'
import { guarded } from '../tasks/index.ts'

const LOG_INTERVAL_MS = 10_000
const US_PER_MS = 1000

type Counts = Pick<DaemonEvents['processor-time'], 'requests' | 'attempts' | 'pieces' | 'messagesIn' | 'messagesOut'>

/** Logs CPU time and counts for each interval; the first interval begins with the process. */
export class CpuTimeLog {
  readonly #metrics: Metrics
  #timer: NodeJS.Timeout | undefined
  #atMs = 0
  #usedMs = 0
  #counts: Counts = { requests: 0, attempts: 0, pieces: 0, messagesIn: 0, messagesOut: 0 }

  constructor (metrics: Metrics) {
    this.#metrics = metrics
  }

  /** Writes the first line and starts the timer. */
  start (): void {
    this.#timer = setInterval(guarded('cpu-time-log', () => this.write()), LOG_INTERVAL_MS)
    this.write()
  }

  /** Stops the timer. */
  stop (): void {
    clearInterval(this.#timer)
  }

  /** Logs the interval since the last line. */
  async write (): Promise<void> {
    const counts = await this.#count()
    const { user, system } = process.cpuUsage()
    const [now, usedMs, before] = [steadyNow(), (user + system) / US_PER_MS, this.#counts]
    log('processor-time', {
      usedMs: usedMs - this.#usedMs,
      spanMs: now - this.#atMs,
      requests: counts.requests - before.requests,
      attempts: counts.attempts - before.attempts,
      pieces: counts.pieces - before.pieces,
      messagesIn: counts.messagesIn - before.messagesIn,
      messagesOut: counts.messagesOut - before.messagesOut,
      memoryMb: process.memoryUsage.rss() / 2 ** 20
    })
    this.#atMs = now
    this.#usedMs = usedMs
    this.#counts = counts
  }

  async #count (): Promise<Counts> {
    const { requests, attempts, chunks, peerMessages } = this.#metrics
    const messages = (await peerMessages.get()).values
    const inDirection = (direction: string) => messages.find(({ labels }) => labels.direction === direction)?.value ?? 0
    return { requests: sum((await requests.get()).values), attempts: sum((await attempts.get()).values), pieces: sum((await chunks.get()).values), messagesIn: inDirection('in'), messagesOut: inDirection('out') }
  }
}

function sum (values: ReadonlyArray<{ value: number }>): number {
  return values.reduce((total, { value }) => total + value, 0)
}
