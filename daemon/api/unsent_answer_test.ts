import { connect } from 'node:net'
import { afterEach, expect, test, vi } from 'vitest'
import { delay } from '../../core/time/index.ts'
import { adunniLevy } from '../../demo/deployments.ts'
import { demoCredential, startPlatform, type Platform } from '../../demo/platform.ts'

/** Size of an answer of which the system holds only a part for a caller that does not read. */
const LARGE_BYTES = 32 * 1024 * 1024
/** Time after which a draining daemon has closed its idle connections, in milliseconds. */
const CLOSED_IDLE_MS = 2000

let platform: Platform
afterEach(async () => { await platform.stop() })

test('an answer that is whole at the daemon reaches a caller that reads it while the daemon drains', async () => {
  // Guards against an answer whose connection is closed as idle while its end waits to be sent.
  platform = await startPlatform(adunniLevy(), { seed: 9, daemons: 1 })
  const daemon = platform.daemons[0]!
  vi.spyOn(daemon.broker, 'find').mockReturnValue({ id: 'large', tokens: ['x'.repeat(LARGE_BYTES)], started: true, movedAway: false, final: { outcome: 'answered', reason: 'whole' }, subscribe: () => () => {} } as never)
  const { hostname, port } = new URL(daemon.addresses.callers)
  const socket = connect({ host: hostname, port: Number(port) })
  socket.write(`GET /v1/requests/large/answer HTTP/1.1\r\nHost: ${hostname}\r\nAuthorization: Bearer ${demoCredential('ikeja-council')}\r\n\r\n`)
  await delay(500)
  const left = daemon.drain()
  await delay(CLOSED_IDLE_MS)
  let bytes = 0
  socket.on('data', (part) => { bytes += part.length }).on('error', () => { /* reset by the daemon */ })
  await new Promise((resolve) => socket.on('close', resolve))
  await left
  expect(bytes).toBeGreaterThan(LARGE_BYTES)
}, 30_000)
