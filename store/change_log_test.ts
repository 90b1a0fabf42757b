import fc from 'fast-check'
import { expect, test } from 'vitest'
import { revisionOf, storeVersion } from '../core/store_version/index.ts'
import { ChangeLog } from './change_log.ts'
import type { Changes, StoredObject } from './object_store.ts'

const v = (revision: number) => storeVersion(0, revision)

const object = (key: string, revision: number): StoredObject => ({ key, version: v(revision), value: `${key} at ${revision}` })

test('since returns only the changes after the given version', () => {
  const log = new ChangeLog()
  log.applyListing({ objects: [object('a', 3), object('b', 5)], version: v(6) })
  log.changed({ objects: [object('c', 8)], removed: ['a'], version: v(9) })
  expect(log.since(v(6))).toEqual({ objects: [object('c', 8)], removed: ['a'], version: v(9) })
  expect(log.since(v(9))).toEqual({ objects: [], removed: [], version: v(9) })
  expect(log.since(v(12))).toEqual({ objects: [], removed: [], version: v(12) })
})

test('since returns undefined for a version before the first listing, because earlier removals are not known', () => {
  const log = new ChangeLog()
  expect(log.since(v(0))).toBeUndefined()
  log.applyListing({ objects: [object('a', 3)], version: v(6) })
  expect(log.since(v(5))).toBeUndefined()
})

test('a listing after an outage reports the objects removed in the meantime', () => {
  const log = new ChangeLog()
  log.applyListing({ objects: [object('a', 1), object('b', 2)], version: v(2) })
  log.applyListing({ objects: [object('b', 2)], version: v(7) })
  expect(log.since(v(2))).toEqual({ objects: [], removed: ['a'], version: v(7) })
})

test('since returns undefined for a version before an evicted removal', () => {
  const log = new ChangeLog({ maxRemovedKeys: 1 })
  log.applyListing({ objects: [object('a', 1), object('b', 2)], version: v(2) })
  log.changed({ objects: [], removed: ['a'], version: v(3) })
  log.changed({ objects: [], removed: ['b'], version: v(4) })
  expect(log.since(v(2))).toBeUndefined()
  expect(log.since(v(3))).toEqual({ objects: [], removed: ['b'], version: v(4) })
})

test('a listing of a later era replaces the log, which then serves all of it to a caller of the older one', () => {
  // Guards against changes that are missed or dropped since their revisions were given out before.
  const log = new ChangeLog()
  log.applyListing({ objects: [object('a', 300), object('b', 400)], version: v(400) })
  const at = (revision: number) => storeVersion(1, revision)
  const listing = { objects: [{ key: 'a', version: at(7), value: 'new' }], version: at(9) }
  log.applyListing(listing)
  expect([log.since(v(400)), log.since(v(9))]).toEqual([undefined, undefined])
  expect(log.all()).toEqual(listing)
  log.changed({ objects: [], removed: ['a'], version: v(401) })
  log.applyListing({ objects: [], version: v(402) })
  expect(log.all()).toEqual(listing)
  log.changed({ objects: [{ key: 'c', version: at(10), value: 'c' }], removed: [], version: at(10) })
  expect(log.since(at(9))).toMatchObject({ objects: [{ key: 'c' }], removed: [] })
})

/** One step in the history of a store: writes or removes one key. Its position, counted from 1, is the version. */
interface Step { key: string, removes: boolean }

function changesBetween (steps: readonly Step[], after: number, upTo: number): Changes {
  const lastSteps = new Map(steps.slice(after, upTo).map((step, i) => [step.key, { ...step, version: after + i + 1 }]))
  return {
    objects: [...lastSteps.values()].filter(({ removes }) => !removes).map(({ key, version }) => object(key, version)),
    removed: [...lastSteps.values()].filter(({ removes }) => removes).map(({ key }) => key),
    version: v(upTo)
  }
}

function stateAt (steps: readonly Step[], version: number): Map<string, number> {
  const state = new Map<string, number>()
  steps.slice(0, version).forEach((step, i) => (step.removes ? state.delete(step.key) : state.set(step.key, i + 1)))
  return state
}

test('random schedules: a follower that switches between the store and lagging daemons keeps a correct copy', () => {
  const step = fc.record({ key: fc.constantFrom('a', 'b', 'c', 'd'), removes: fc.boolean() })
  const turn = fc.record({ source: fc.integer({ min: 0, max: 2 }), lag: fc.integer({ min: 0, max: 5 }), lists: fc.boolean() })
  fc.assert(fc.property(fc.array(step, { maxLength: 40 }), fc.array(turn, { maxLength: 40 }), (steps, turns) => {
    const relays = [new ChangeLog({ maxRemovedKeys: 2 }), new ChangeLog({ maxRemovedKeys: 2 })]
    const relayVersions = [0, 0]
    for (const relay of relays) relay.applyListing({ objects: [], version: v(0) })
    const copy = new Map<string, number>()
    let at = 0
    const applyToCopy = ({ objects, removed, version }: Changes) => {
      at = Math.max(at, revisionOf(version))
      for (const key of removed) copy.delete(key)
      for (const { key, version: written } of objects) if (revisionOf(written) > (copy.get(key) ?? 0)) copy.set(key, revisionOf(written))
    }
    turns.forEach(({ source, lag, lists }, i) => {
      const now = Math.floor(steps.length * (i + 1) / turns.length)
      const which = source % 2
      const upTo = Math.max(relayVersions[which]!, now - lag)
      if (lists) relays[which]!.applyListing({ objects: [...stateAt(steps, upTo)].map(([key, version]) => object(key, version)), version: v(upTo) })
      else relays[which]!.changed(changesBetween(steps, relayVersions[which]!, upTo))
      relayVersions[which] = upTo
      const answer = source === 2 ? changesBetween(steps, at, Math.max(at, now)) : relays[which]!.since(v(at))
      if (answer) applyToCopy(answer)
      expect([...copy].sort()).toEqual([...stateAt(steps, at)].sort())
    })
  }), { numRuns: 500, seed: 7 })
})
