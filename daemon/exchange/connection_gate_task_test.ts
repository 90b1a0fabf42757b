import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import type { Acceptance } from '../../core/admission/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { createMetrics } from '../metrics.ts'
import { ConnectionGateTask } from './connection_gate_task.ts'

/** Time that the modelled daemon takes to read and serve one connection, in milliseconds. */
const SERVICE_MS = 10
const FOR_MS = 20_000
/** Time from which a daemon serves what it reads, in milliseconds. */
const SETTLED_MS = 3000
/** Callers' patience, in milliseconds. */
const PATIENCE_MS = 1000
const MIN_SERVED = 0.75

beforeEach(() => { vi.useFakeTimers() })
afterEach(() => { vi.useRealTimers() })

/** Connections that wait in a port's queue, of which a daemon reads one at a time. */
class QueueModel {
  connections = 0
  open = 0
  closedUnread = 0
  readonly #waits: Array<{ atMs: number, waitMs: number }> = []
  #queue: Array<{ atMs: number, accepted?: () => void }> = []
  #accepting = true
  readonly #coreShare: number

  /** @param coreShare Part of the time in which the process runs. */
  constructor (coreShare = 1) {
    this.#coreShare = coreShare
  }

  /** Waits of the connections that were read after the daemon had settled, in milliseconds. */
  get waits (): number[] { return this.#waits.filter(({ atMs }) => atMs >= SETTLED_MS).map(({ waitMs }) => waitMs) }

  arrive (): void {
    this.#queue.push({ atMs: steadyNow() })
  }

  /** Reads the next connection; while new ones are refused, all are closed, which takes next to no time. */
  turn (startMs: number): void {
    for (let next = this.#queue.shift(); next; next = this.#queue.shift()) {
      if (next.accepted) {
        next.accepted()
        continue
      }
      this.connections++
      if (!this.#accepting) this.closedUnread++
      else {
        this.#waits.push({ atMs: steadyNow() - startMs, waitMs: steadyNow() - next.atMs })
        return
      }
    }
  }

  acceptConnections (isAccepting: boolean): void {
    this.#accepting = isAccepting
  }

  measureAcceptance (givenUpMs: number): Promise<Acceptance> {
    const [startMs, { connections }] = [steadyNow(), this]
    return new Promise((resolve) => {
      const finish = () => resolve({ waitMs: steadyNow() - startMs, ranMs: (steadyNow() - startMs) * this.#coreShare, ahead: this.connections - connections })
      this.#queue.push({ atMs: startMs, accepted: finish })
      setTimeout(finish, givenUpMs)
    })
  }
}

/** Hands a server the given multiple of the connections that it bears, for the whole play. */
async function play (server: QueueModel, load: number): Promise<void> {
  const gate = new ConnectionGateTask({ server, metrics: createMetrics() })
  gate.start()
  const startMs = steadyNow()
  const arrivals = setInterval(() => server.arrive(), SERVICE_MS / load)
  const turns = setInterval(() => server.turn(startMs), SERVICE_MS)
  await vi.advanceTimersByTimeAsync(FOR_MS)
  clearInterval(arrivals)
  clearInterval(turns)
  gate.stop()
}

test.each([0.5, 0.9, 1.5, 2, 4, 8])('a daemon that is handed %d times the connections that it bears reads them in time from three seconds on', async (load) => {
  // Guards against a gate that closes only when those that are read have waited for as long as their callers do.
  const server = new QueueModel()
  await play(server, load)
  expect(server.waits.filter((waitMs) => waitMs <= PATIENCE_MS).length / server.waits.length).toBeGreaterThanOrEqual(MIN_SERVED)
  expect(server.closedUnread > 0).toBe(load > 1)
})

test.each([1.5, 4, 8])('a daemon with a quarter of a core that is handed %d times the connections that it bears reads them in time once its gate has closed', async (load) => {
  // Guards against a gate that takes each queue of a herd on a busy host for the host's work again.
  const server = new QueueModel(0.25)
  await play(server, load)
  expect(server.waits.filter((waitMs) => waitMs <= PATIENCE_MS).length / server.waits.length).toBeGreaterThanOrEqual(MIN_SERVED)
  expect(server.closedUnread).toBeGreaterThan(0)
})
