import { expect, test } from 'vitest'
import { as, type DaemonId } from '../ids/index.ts'
import { NO_VERSION, revisionOf, storeVersion, type StoreVersion } from '../store_version/index.ts'
import { currentFencing, isUnsucceeded, nextLeaseAction, NO_LEASE, released, recordEra, recordRead, recordReleaseSent, recordSent, type LeaseRecord, type LeaseState } from './index.ts'

const v = (revision: number) => storeVersion(0, revision)

const A = as<DaemonId>('a')
const B = as<DaemonId>('b')
const C = as<DaemonId>('c')
const TTL_MS = 1000
const STEP_MS = 500

test('a renewal is valid from when it was sent, and a holder that stops renewing loses the lease after its time to live', () => {
  const record: LeaseRecord = { holder: A, fencing: 3, ttlMs: TTL_MS, renewal: 'x' }
  const state = recordRead(recordSent(NO_LEASE, record, 100), { record, version: v(1) }, { self: A, now: 700 })
  expect([currentFencing(state, A, 1099), currentFencing(state, A, 1100), currentFencing(state, B, 500)]).toEqual([3, undefined, undefined])
})

test('an own record that the daemon does not remember sending gives it no right to act', () => {
  // Guards against two holders at once: the response to a renewal was lost, and its sender found the record much later and counted its validity from then.
  const record: LeaseRecord = { holder: A, fencing: 3, ttlMs: TTL_MS, renewal: 'x' }
  expect(currentFencing(recordRead(NO_LEASE, { record, version: v(1) }, { self: A, now: 700 }), A, 700)).toBeUndefined()
})

test('a released lease is acquired at once, with a higher fencing number', () => {
  const record = released({ holder: A, fencing: 3, ttlMs: TTL_MS, renewal: 'x' }, 'y')
  const state = recordRead(NO_LEASE, { record, version: v(7) }, { self: B, now: 100 })
  expect(nextLeaseAction(state, { self: B, now: 100, ttlMs: TTL_MS, writeId: 'z' })).toMatchObject({ type: 'write', version: v(7), record: { holder: B, fencing: 4 } })
})

test('a holder that raises its fencing number writes at once, and other daemons do not', () => {
  const record: LeaseRecord = { holder: A, fencing: 3, ttlMs: TTL_MS, renewal: 'x' }
  const state = recordRead(recordSent(NO_LEASE, record, 100), { record, version: v(1) }, { self: A, now: 100 })
  expect(nextLeaseAction(state, { self: A, now: 100, ttlMs: TTL_MS, writeId: 'z', increaseFencing: true })).toMatchObject({ type: 'write', record: { holder: A, fencing: 4 } })
  expect(nextLeaseAction(state, { self: B, now: 100, ttlMs: TTL_MS, writeId: 'z', increaseFencing: true })).toMatchObject({ type: 'wait' })
})

test('after a return of the store, the holder claims the lease at once and others wait until its time is over', () => {
  // Guards against two holders where the copy has no record of the lease, a released one, or one whose time is over.
  const record: LeaseRecord = { holder: A, fencing: 3, ttlMs: TTL_MS, renewal: 'x', era: 1 }
  const stale = [undefined, { record, version: storeVersion(2, 1) }, { record: released(record, 'y'), version: storeVersion(2, 1) }, { record: { ...record, holder: C, renewal: 'z' }, version: storeVersion(2, 1) }]
  const held = recordRead(recordSent(recordEra(NO_LEASE, 1, 0), record, 100), { record, version: storeVersion(1, 7) }, { self: A, now: 110 })
  for (const found of stale) {
    const holder = recordRead(recordEra(held, 2, 300), found, { self: A, now: 300 })
    expect(currentFencing(holder, A, 1099)).toBe(3)
    expect(nextLeaseAction(holder, { self: A, now: 300, ttlMs: TTL_MS, writeId: 'w' })).toMatchObject({ type: 'write', record: { holder: A, era: 2 } })
    expect(nextLeaseAction(holder, { self: A, now: 1100, ttlMs: TTL_MS, writeId: 'w' })).toMatchObject({ type: 'wait' })
    const other = recordRead(recordEra(NO_LEASE, 2, 300), found, { self: B, now: 900 })
    expect(nextLeaseAction(other, { self: B, now: 1799, ttlMs: TTL_MS, writeId: 'w' })).toMatchObject({ type: 'wait' })
    expect(nextLeaseAction(other, { self: B, now: 1800, ttlMs: TTL_MS, writeId: 'w' })).toMatchObject({ type: 'write', record: { holder: B, era: 2 } })
  }
})

test('a fencing number of a later era is above all numbers of earlier ones', () => {
  const numberIn = (era: number) => {
    const action = nextLeaseAction(recordEra(NO_LEASE, era, 0), { self: A, now: 10 * TTL_MS, ttlMs: TTL_MS, writeId: 'w' })
    return action.type === 'write' ? action.record.fencing : NaN
  }
  expect(numberIn(0)).toBe(1)
  expect(numberIn(2)).toBeGreaterThan(numberIn(1) + 1e6)
})

test('from the sending of a release its holder may not act, and renewals that it sent before give it no right', () => {
  // Guards against two holders: the release is in force, and its answer or that of a renewal is still on the way.
  const record: LeaseRecord = { holder: A, fencing: 3, ttlMs: TTL_MS, renewal: 'x' }
  const held = recordRead(recordSent(NO_LEASE, record, 100), { record, version: v(1) }, { self: A, now: 100 })
  const renewal = { ...record, renewal: 'y' }
  const giving = recordReleaseSent(recordSent(held, renewal, 400), released(record, 'z'), 500)
  const late = recordRead(giving, { record: renewal, version: v(2) }, { self: A, now: 600 })
  expect([giving, late].map((state) => currentFencing(state, A, 600))).toEqual([undefined, undefined])
  expect([giving, late].map((state) => isUnsucceeded(state, { ttlMs: TTL_MS, now: 600 }))).toEqual([false, false])
})

/** A write in flight to the store, or its response on the way back. */
interface Write { actor: number, record: LeaseRecord, version: StoreVersion, at: 'sent' | 'answered', result: { record: LeaseRecord, version: StoreVersion } | undefined }
interface SystemState { nowMs: number, stored: { record: LeaseRecord, version: StoreVersion } | undefined, actors: LeaseState[], writes: Write[], written: number }

/** The correct protocol, or one with a deliberate fault that the exploration must detect. */
type Variant = 'correct' | 'counts from the answer' | 'takes over too early' | 'writes without a condition' | 'holds until its release is answered'

const ACTORS = [A, B]
const DEPTH = 11
const MAX_WRITES = 4

/**
 * Explores every state that two daemons can reach within a number of steps: time passes, a daemon reads the store or writes to it, a write or its
 * response arrives or is lost. A paused daemon is one without steps.
 */
function explore (variant: Variant): { states: number, doubleHolders: number, duplicateNumbers: number } {
  const first: SystemState = { nowMs: 0, stored: undefined, actors: [NO_LEASE, NO_LEASE], writes: [], written: 0 }
  const visited = new Set<string>([JSON.stringify(first)])
  let frontier = [first]
  let doubleHolders = 0
  let duplicateNumbers = 0
  for (let depth = 0; depth < DEPTH; depth++) {
    if (variant !== 'correct' && doubleHolders + duplicateNumbers > 0) break
    const next: SystemState[] = []
    for (const system of frontier) {
      for (const successor of successors(system, variant)) {
        const key = JSON.stringify(successor)
        if (visited.has(key)) continue
        visited.add(key)
        next.push(successor)
        const numbers = successor.actors.map((state, i) => currentFencing(state, ACTORS[i]!, successor.nowMs))
        if (numbers[0] !== undefined && numbers[1] !== undefined) doubleHolders++
        if (numbers[0] !== undefined && numbers[0] === numbers[1]) duplicateNumbers++
      }
    }
    frontier = next
  }
  return { states: visited.size, doubleHolders, duplicateNumbers }
}

function * successors (system: SystemState, variant: Variant): Generator<SystemState> {
  yield { ...system, nowMs: system.nowMs + STEP_MS }
  for (let i = 0; i < ACTORS.length; i++) {
    yield withActor(system, i, recordRead(system.actors[i]!, system.stored, { self: ACTORS[i]!, now: system.nowMs }))
    const write = startWrite(system, i, variant)
    if (write) yield { ...withActor(system, i, recordSent(system.actors[i]!, write.record, system.nowMs)), writes: [...system.writes, write], written: system.written + 1 }
    const release = startRelease(system, i)
    if (release) yield { ...withActor(system, i, releasing(system.actors[i]!, release.record, { nowMs: system.nowMs, variant })), writes: [...system.writes, release], written: system.written + 1 }
  }
  for (const write of system.writes) {
    const others = system.writes.filter((other) => other !== write)
    yield { ...system, writes: others }
    yield write.at === 'sent' ? applyWrite(system, write, { others, variant }) : deliverAnswer({ ...system, writes: others }, write, variant)
  }
}

function startWrite (system: SystemState, i: number, variant: Variant): Write | undefined {
  if (system.written >= MAX_WRITES || system.writes.some((write) => write.actor === i)) return undefined
  const state = system.actors[i]!
  const early = variant === 'takes over too early' && state.record !== undefined && state.record.holder !== ACTORS[i]
  const options = { self: ACTORS[i]!, now: system.nowMs + (early ? TTL_MS : 0), ttlMs: TTL_MS, writeId: `${i}.${system.written}` }
  const action = nextLeaseAction(state, options)
  if (action.type === 'wait') return undefined
  return { actor: i, record: action.record, version: action.version, at: 'sent', result: undefined }
}

/** A release may be sent while a renewal is in flight. */
function startRelease (system: SystemState, i: number): Write | undefined {
  const state = system.actors[i]!
  if (system.written >= MAX_WRITES || currentFencing(state, ACTORS[i]!, system.nowMs) === undefined) return undefined
  return { actor: i, record: released(state.record!, `${i}.${system.written}`), version: state.version, at: 'sent', result: undefined }
}

function releasing (state: LeaseState, record: LeaseRecord, { nowMs, variant }: { nowMs: number, variant: Variant }): LeaseState {
  return variant === 'holds until its release is answered' ? recordSent(state, record, nowMs) : recordReleaseSent(state, record, nowMs)
}

/** Applies a write to the store and fixes its result, which the writer learns from the response or by reading back. */
function applyWrite (system: SystemState, write: Write, { others, variant }: { others: Write[], variant: Variant }): SystemState {
  const holds = variant === 'writes without a condition' || (system.stored?.version ?? NO_VERSION) === write.version
  const stored = holds ? { record: write.record, version: v(revisionOf(system.stored?.version ?? NO_VERSION) + 1) } : system.stored
  return { ...system, stored, writes: [...others, { ...write, at: 'answered', result: stored }] }
}

function deliverAnswer (system: SystemState, write: Write, variant: Variant): SystemState {
  const state = recordRead(system.actors[write.actor]!, write.result, { self: ACTORS[write.actor]!, now: system.nowMs })
  const own = write.result?.record.renewal === write.record.renewal
  return withActor(system, write.actor, own && variant === 'counts from the answer' ? countedFrom(state, system.nowMs) : state)
}

function countedFrom (state: LeaseState, nowMs: number): LeaseState {
  return { ...state, seenAtMs: nowMs, hold: state.hold && { ...state.hold, untilMs: nowMs + state.record!.ttlMs } }
}

function withActor (system: SystemState, i: number, state: LeaseState): SystemState {
  return { ...system, actors: system.actors.map((other, j) => (j === i ? state : other)) }
}

test('under loss, delay and pauses, two daemons never hold the lease at once or use the same fencing number', () => {
  const { states, doubleHolders, duplicateNumbers } = explore('correct')
  expect(states).toBeGreaterThan(20_000)
  expect([doubleHolders, duplicateNumbers]).toEqual([0, 0])
}, 60_000)

test.each<Variant>(['counts from the answer', 'takes over too early', 'holds until its release is answered'])('the exploration detects the fault of a lease that %s', (variant) => {
  expect(explore(variant).doubleHolders).toBeGreaterThan(0)
}, 60_000)

test('the exploration detects the fault of a lease that is written without a condition', () => {
  expect(explore('writes without a condition').duplicateNumbers).toBeGreaterThan(0)
}, 60_000)

/** An actor in an exploration with returns of the store. Its process may be killed; the next one has another id and remembers nothing. */
interface Actor { id: DaemonId, state: LeaseState, hasRead: boolean }
interface CopiedRecord { record: LeaseRecord, revision: number }
interface ReturningWrite { actor: number, id: DaemonId, record: LeaseRecord, version: StoreVersion, answer: { era: number, stored: CopiedRecord | undefined } | undefined }
interface ReturningSystem {
  nowMs: number
  era: number
  revision: number
  stored: CopiedRecord | undefined
  copy: { stored: CopiedRecord | undefined, revision: number }
  actors: Actor[]
  writes: ReturningWrite[]
  written: number
  kills: number
  /** Highest fencing number that a daemon could act with so far, and that daemon. */
  highest: { fencing: number, id: DaemonId | undefined }
}

/** The correct protocol, or one with a deliberate fault. */
type ReturnVariant = 'correct' | 'does not wait in a new era' | 'counts within the record only'

const MAX_ERA = 3
const RETURN_DEPTH = 10
const MAX_RETURN_WRITES = 3

/** Explores what two daemons and a store that may return to its copy at any point can reach; its copy may be taken anew at any point before the first return. */
function exploreReturns (variant: ReturnVariant): { states: number, doubleHolders: number, reusedNumbers: number } {
  const record: LeaseRecord = { holder: A, fencing: 2 ** 24 + 1, ttlMs: TTL_MS, renewal: 'first', era: 1 }
  const stored = { record, revision: 1 }
  const known = recordEra(NO_LEASE, 1, 0)
  const read = (id: DaemonId): LeaseState => recordRead(id === A ? recordSent(known, record, 0) : known, { record, version: storeVersion(1, 1) }, { self: id, now: 0 })
  const first: ReturningSystem = { nowMs: 0, era: 1, revision: 1, stored, copy: { stored: undefined, revision: 0 }, actors: [A, B].map((id) => ({ id, state: read(id), hasRead: true })), writes: [], written: 0, kills: 0, highest: { fencing: record.fencing, id: A } }
  const visited = new Set<string>([JSON.stringify(first)])
  let frontier = [first]
  let doubleHolders = 0
  let reusedNumbers = 0
  for (let depth = 0; depth < RETURN_DEPTH; depth++) {
    if (variant !== 'correct' && doubleHolders + reusedNumbers > 0) break
    const next: ReturningSystem[] = []
    for (const successor of frontier.flatMap((system) => [...returningSuccessors(system, variant)])) {
      const numbers = successor.actors.map(({ id, state }) => ({ id, fencing: currentFencing(state, id, successor.nowMs) }))
      if (numbers.every(({ fencing }) => fencing !== undefined)) doubleHolders++
      for (const { id, fencing } of numbers) {
        if (fencing === undefined) continue
        if (fencing < successor.highest.fencing ? numbers.every((other) => other.id === id || other.fencing === undefined) : fencing === successor.highest.fencing && id !== successor.highest.id) reusedNumbers++
        if (fencing > successor.highest.fencing) successor.highest = { fencing, id }
      }
      const key = JSON.stringify(successor)
      if (visited.has(key)) continue
      visited.add(key)
      next.push(successor)
    }
    frontier = next
  }
  return { states: visited.size, doubleHolders, reusedNumbers }
}

function * returningSuccessors (system: ReturningSystem, variant: ReturnVariant): Generator<ReturningSystem> {
  yield { ...system, nowMs: system.nowMs + STEP_MS }
  if (system.era === 1) yield { ...system, copy: { stored: system.stored, revision: system.revision } }
  if (system.era < MAX_ERA) yield { ...system, era: system.era + 1, stored: system.copy.stored, revision: system.copy.revision }
  for (const [i, { id, state, hasRead }] of system.actors.entries()) {
    yield withReadOf(system, i, { era: system.era, stored: system.stored })
    if (system.kills < 1) yield { ...system, kills: 1, actors: system.actors.map((actor, j) => (j === i ? { id: as<DaemonId>(`${id}+`), state: NO_LEASE, hasRead: false } : actor)) }
    if (!hasRead || system.written >= MAX_RETURN_WRITES || system.writes.some((write) => write.id === id)) continue
    const options = { self: id, now: system.nowMs, ttlMs: TTL_MS, writeId: `${id}.${system.written}` }
    const action = nextLeaseAction(variant === 'does not wait in a new era' ? { ...state, eraSeenAtMs: -Infinity } : state, options)
    if (action.type === 'wait') continue
    const record = variant === 'counts within the record only' ? { ...action.record, fencing: state.record?.holder === id ? state.record.fencing : (state.record?.fencing ?? 2 ** 24) + 1 } : action.record
    yield {
      ...system,
      actors: system.actors.map((actor, j) => (j === i ? { ...actor, state: recordSent(state, record, system.nowMs) } : actor)),
      writes: [...system.writes, { actor: i, id, record, version: action.version, answer: undefined }],
      written: system.written + 1
    }
  }
  for (const write of system.writes) {
    const others = system.writes.filter((other) => other !== write)
    yield { ...system, writes: others }
    yield write.answer ? deliverReturningAnswer({ ...system, writes: others }, write) : applyReturningWrite(system, write, others)
  }
}

/** Applies a write if its condition holds, which may be by chance: the store compares revisions, and gives them out again. */
function applyReturningWrite (system: ReturningSystem, write: ReturningWrite, others: ReturningWrite[]): ReturningSystem {
  const holds = write.version === NO_VERSION ? system.stored === undefined : system.stored?.revision === revisionOf(write.version)
  const revision = holds ? system.revision + 1 : system.revision
  const stored = holds ? { record: write.record, revision } : system.stored
  return { ...system, stored, revision, writes: [...others, { ...write, answer: { era: system.era, stored } }] }
}

/** Delivers the answer to a write; the record is read back if the answer is of another era than the writer knows. */
function deliverReturningAnswer (system: ReturningSystem, write: ReturningWrite): ReturningSystem {
  if (system.actors[write.actor]!.id !== write.id) return system
  const isLate = write.answer!.era < system.actors[write.actor]!.state.era
  return withReadOf(system, write.actor, isLate ? { era: system.era, stored: system.stored } : write.answer!)
}

function withReadOf (system: ReturningSystem, i: number, { era, stored }: { era: number, stored: CopiedRecord | undefined }): ReturningSystem {
  const read = ({ id, state }: Actor): Actor => ({
    id,
    hasRead: true,
    state: recordRead(recordEra(state, era, system.nowMs), stored && { record: stored.record, version: storeVersion(era, stored.revision) }, { self: id, now: system.nowMs })
  })
  return { ...system, actors: system.actors.map((actor, j) => (j === i ? read(actor) : actor)) }
}

test('although the store returns to a copy at any point, two daemons never hold the lease at once, and no fencing number is used by two', () => {
  const { states, doubleHolders, reusedNumbers } = exploreReturns('correct')
  expect(states).toBeGreaterThan(50_000)
  expect([doubleHolders, reusedNumbers]).toEqual([0, 0])
}, 120_000)

test('the exploration of returns detects a contender that does not wait in a new era', () => {
  expect(exploreReturns('does not wait in a new era').doubleHolders).toBeGreaterThan(0)
}, 120_000)

test('the exploration of returns detects fencing numbers that are counted within the record only', () => {
  expect(exploreReturns('counts within the record only').reusedNumbers).toBeGreaterThan(0)
}, 120_000)
