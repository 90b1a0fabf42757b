import { afterEach, beforeEach, expect, test } from 'vitest'
import { Session, type Kind } from '../../bench/_session.ts'
import { StandInEngine } from '../../standins/index.ts'

/** Longer than an engine takes to start on a request, in milliseconds. */
const RUN_MS = 200

let session: Session

beforeEach(async () => { session = await Session.start(33) })
afterEach(async () => {
  await Promise.all(session.daemons.map((daemon) => daemon.kill()))
  session.stop()
})

/** Stops the engine that runs the only request and starts a new one; returns false if no engine runs it. */
async function crashRunningEngine (): Promise<boolean> {
  const host = session.cloud.live().find(({ hostId }) => {
    const endpoint = session.cloud.endpoint(hostId)
    return endpoint instanceof StandInEngine && endpoint.running > 0
  })
  if (!host) return false
  await session.cloud.stop(host.hostId)
  await session.startHost('models', host.failureDomain)
  return true
}

test.each<Kind>(['review', 'letter'])('a %s that crashes every engine that runs it crashes four at most, over all daemons', async (kind) => {
  // Guards against a query of death that takes down engine after engine, because callers resend it and daemons retry it.
  let crashed = 0
  for (let nth = 0; nth < 12; nth++) {
    session.submit(session.daemons[nth % 3]!, { kind, key: `k${nth}`, input: 'the same each time', maxTokens: 200 })
    for (;;) {
      await session.advance(RUN_MS)
      if (!await crashRunningEngine()) break
      crashed++
    }
    await session.advance(2000)
  }
  expect(crashed).toBeGreaterThanOrEqual(3)
  expect(crashed).toBeLessThanOrEqual(4)
  const last = session.callers.at(-1)!
  expect([last.outcome, last.reason]).toEqual(['not-run', expect.stringContaining('quarantined')])
  session.submit(session.daemons[0]!, { kind, key: 'other', input: 'another', maxTokens: 20 })
  await session.advance(5000)
  expect(session.callers.at(-1)!.outcome).toBe('answered')
})
