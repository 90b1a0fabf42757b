import { afterEach, beforeEach, expect, test } from 'vitest'
import { Session, sessionConfig } from '../../bench/_session.ts'
import { InvalidError } from '../../core/config/index.ts'
import { ConfigConflictError } from './config_task.ts'

let session: Session

beforeEach(async () => { session = await Session.start(3) })
afterEach(async () => {
  await Promise.all(session.daemons.map((daemon) => daemon.kill()))
  session.stop()
})

const revisions = () => session.daemons.map((daemon) => daemon.config.inForce?.revision)
const changed = () => ({ ...sessionConfig(), wantsLeast: 'cost' as const })

/** Applies a configuration and advances the fake clock until the call completes. */
async function apply (which: number, value: unknown, base?: number): Promise<unknown> {
  const result = session.daemons[which]!.config.apply(value, { operator: `op-${which}`, ...(base !== undefined && { base }) }).catch((err: unknown) => err)
  await session.advance(1500)
  return await result
}

test('a change is in force on every daemon within two seconds, and the accepting daemon knows it', async () => {
  await apply(0, changed())
  expect(revisions()).toEqual([2, 2, 2])
  expect(session.daemons[0]!.config.reach(2)).toEqual({ revision: 2, daemons: 3, of: 3 })
})

test('of two concurrent changes one is accepted, and the other operator is shown the difference', async () => {
  // Two operators edit revision 1 concurrently. Without the conditional update the later write would silently overwrite the earlier one.
  const both = [session.daemons[0]!, session.daemons[1]!].map((daemon, i) => daemon.config.apply({ ...changed(), deployment: `by-${i}` }, { operator: `op-${i}`, base: 1 }).catch((err: unknown) => err))
  await session.advance(1500)
  const results = await Promise.all(both)
  const refused = results.filter((result) => result instanceof ConfigConflictError)
  expect(refused).toHaveLength(1)
  expect(refused[0]).toMatchObject({ revision: 2, difference: [expect.objectContaining({ path: 'deployment' })] })
  expect(revisions()).toEqual([2, 2, 2])
})

test('an accepted change reaches all daemons although the store goes down right after', async () => {
  // The operator is told "accepted", and then the store and its watches fail. The accepting daemon must announce the change to the others.
  const applying = session.daemons[2]!.config.apply(changed(), { operator: 'op' })
  await session.advance(5)
  session.store.faults.down = true
  await session.advance(2000)
  await applying
  expect(revisions()).toEqual([2, 2, 2])
})

test('a daemon that starts during a store outage gets the newest configuration from its peers, and reports that it is not confirmed', async () => {
  await apply(0, changed())
  session.store.faults.down = true
  // Member registrations cannot be read either, so the peer's address is given directly, as a seed in the settings would.
  await session.startDaemon('a')
  const started = session.daemons.at(-1)!
  started.membership.links.keep([session.daemons[0]!.membership.core.self.address])
  await session.advance(2000)
  expect(started.config.inForce?.revision).toBe(2)
  expect(started.config.sure).toBe(false)
  expect((await started.status()).revisionSure).toBe(false)
})

test('a change whose response was lost is read back and reported as accepted, once', async () => {
  session.store.faults.loseAnswers = 1
  expect(await apply(0, changed())).toMatchObject({ revision: 2 })
  expect(revisions()).toEqual([2, 2, 2])
})

test('a partitioned daemon gets the change once the network heals, and never reverts it', async () => {
  const [a, b, c] = session.daemons.map((daemon) => daemon.id) as [never, never, never]
  session.network.part(a, c, true)
  session.network.part(b, c, true)
  session.store.faults.loseWatches = 5
  await apply(0, changed())
  session.network.healPartitions()
  await session.advance(30_000)
  expect(revisions()).toEqual([2, 2, 2])
})

test('the audit trail has accepted and refused changes, and one whose daemon crashed before recording it', async () => {
  await apply(0, { ...changed(), classes: [] })
  await apply(1, changed(), 7)
  await apply(1, changed())
  const accepted = session.store.keys().filter((key) => key.startsWith('audit/config/'))
  for (const key of accepted) await session.store.remove(key, (await session.store.get(key))!.version)
  await apply(2, sessionConfig())
  await session.startDaemon('b')
  await session.advance(3000)
  const reading = session.daemons[0]!.audit.read()
  await session.advance(3000)
  expect((await reading).map(({ kind, who }) => `${kind} ${who}`).sort()).toEqual([
    'config op', 'config op-1', 'config op-2', 'config-refused op-0', 'config-refused op-1'
  ])
})

test('a configuration with any invalid field is refused as a whole', async () => {
  expect(await apply(0, { ...changed(), classes: [] })).toBeInstanceOf(InvalidError)
  expect(revisions()).toEqual([1, 1, 1])
})
