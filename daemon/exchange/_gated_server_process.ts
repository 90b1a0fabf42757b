/** A server behind a connection gate, as a process that stops and is continued by its parent. Sends its port to the parent, and a byte on standard output before it stops. */
import { writeSync } from 'node:fs'
import { as } from '../../core/ids/index.ts'
import type { ExchangeDialect } from '../../endpoints/index.ts'
import { createMetrics } from '../metrics.ts'
import { ConnectionGateTask } from './connection_gate_task.ts'
import { ExchangeServer } from './exchange_server.ts'
import type { Intake } from './intake.ts'
import { Refusal } from './refusal.ts'

const US_PER_MS = 1000
/** Processor time that a request takes, in milliseconds. */
const workMs = Number(process.argv[2])
/** Requests to any path but `/` after each of which the process stops. */
const stopAfter = Number(process.argv[3])
let counted = 0

function usedMs (): number {
  const { user, system } = process.cpuUsage()
  return (user + system) / US_PER_MS
}

async function accept ({ target }: { target: string }): Promise<never> {
  const endMs = usedMs() + workMs
  while (usedMs() < endMs) { /* works */ }
  if (target !== '/' && ++counted % stopAfter === 0) {
    writeSync(process.stdout.fd, '.')
    process.kill(process.pid, 'SIGSTOP')
  }
  throw new Refusal('answered', { status: 404 })
}

const dialect = { readRequest: (req) => ({ id: as('r'), method: req.method!, target: req.url!, host: '', headers: [], credential: undefined, deadlineInMs: undefined, demand: undefined, resumeFrom: 0, streamId: undefined }) } as Partial<ExchangeDialect> as ExchangeDialect
const server = new ExchangeServer({ dialect, metrics: createMetrics(), intake: { accept, configState: { revision: 1, revisionAgeMs: 0 } } as unknown as Intake })
new ConnectionGateTask({ server, metrics: createMetrics() }).start()
process.send!(await server.listen('127.0.0.1', 0))
