import fc from 'fast-check'
import { expect, test } from 'vitest'
import { answerWindowBytes, MAX_WINDOW_BYTES, MEMORY_KINDS, MemoryAccount, MIN_WINDOW_BYTES, SMALL_ENTRY_BYTES, type MemoryEntry, type MemoryKind, type MemoryLevel } from './index.ts'

const SEED = 62
const LIMIT_BYTES = 1000 * SMALL_ENTRY_BYTES

type Step = { type: 'open', kind: MemoryKind, bytes: number } | { type: 'grow' | 'shrink', at: number, bytes: number } | { type: 'move', at: number, kind: Exclude<MemoryKind, 'connection'> } | { type: 'close', at: number }

const sizes = fc.nat(300 * SMALL_ENTRY_BYTES)
const kinds = fc.constantFrom(...MEMORY_KINDS)
const movedKinds = fc.constantFrom('request-body' as const, 'queued' as const, 'sending' as const, 'answer' as const)
const steps: fc.Arbitrary<Step[]> = fc.array(fc.oneof(
  fc.record({ type: fc.constant('open' as const), kind: kinds, bytes: sizes }),
  fc.record({ type: fc.constantFrom('grow' as const, 'shrink' as const), at: fc.nat(30), bytes: sizes }),
  fc.record({ type: fc.constant('move' as const), at: fc.nat(30), kind: movedKinds }),
  fc.record({ type: fc.constant('close' as const), at: fc.nat(30) })
), { maxLength: 120 })

/** Owners that take nothing for which there is no room. */
function play (account: MemoryAccount, entries: MemoryEntry[], step: Step): void {
  if (step.type === 'open') {
    if (account.hasRoomFor(step.bytes)) entries.push(account.open(step.kind, step.bytes))
    return
  }
  const entry = entries[step.at % Math.max(1, entries.length)]
  if (!entry) return
  if (step.type === 'grow') {
    if (account.hasRoomFor(step.bytes)) entry.set(entry.bytes + step.bytes)
  } else if (step.type === 'shrink') entry.set(Math.max(0, entry.bytes - step.bytes))
  else if (step.type === 'move') {
    if (entry.kind !== 'connection') entry.move(step.kind)
  } else entry.close()
}

test('the sum is what the entries hold and never over the limit, whatever their owners do in which order', () => {
  fc.assert(fc.property(steps, (schedule) => {
    const levels: MemoryLevel[] = ['normal']
    const account = new MemoryAccount({ limitBytes: LIMIT_BYTES, onLevel: (level, before) => { expect(before).toBe(levels.at(-1)); levels.push(level) } })
    const entries: MemoryEntry[] = []
    for (const step of schedule) {
      play(account, entries, step)
      const held = (kind?: MemoryKind) => entries.filter((each) => kind === undefined || each.kind === kind).reduce((sum, { bytes }) => sum + bytes, 0)
      expect(account.heldBytes).toBe(held())
      for (const kind of MEMORY_KINDS) expect(account.bytesOf(kind)).toBe(held(kind))
      expect(account.yieldingBytes).toBe(held() - held('connection'))
      expect(account.yieldingBytes).toBeLessThanOrEqual(LIMIT_BYTES)
      expect(account.level).toBe(levels.at(-1))
      if (account.yieldingBytes >= account.highMarkBytes) expect(account.level).not.toBe('normal')
      if (account.yieldingBytes <= account.lowMarkBytes) expect(account.level).toBe('normal')
    }
    for (const entry of entries) entry.close()
    expect([account.heldBytes, account.level]).toEqual([0, 'normal'])
  }), { seed: SEED, numRuns: 500 })
})

test('bytes that are counted as another kind make no room meanwhile', () => {
  // Guards against a body that is admitted in the place of one that is only passed on.
  const account = new MemoryAccount({ limitBytes: LIMIT_BYTES })
  const entry = account.open('request-body', 700 * SMALL_ENTRY_BYTES)
  account.onRoom = () => expect.unreachable()
  entry.move('queued')
  expect([account.heldBytes, account.bytesOf('request-body'), account.bytesOf('queued')]).toEqual([entry.bytes, 0, entry.bytes])
})

test('an entry that was closed changes nothing any more', () => {
  const account = new MemoryAccount({ limitBytes: LIMIT_BYTES })
  const entry = account.open('answer', 400 * SMALL_ENTRY_BYTES)
  entry.close()
  entry.set(300)
  entry.move('queued')
  entry.close()
  expect([account.heldBytes, account.bytesOf('queued')]).toEqual([0, 0])
})

test('between the marks the level stays what it was', () => {
  const account = new MemoryAccount({ limitBytes: LIMIT_BYTES })
  const entry = account.open('answer')
  const levelAt = (bytes: number) => { entry.set(bytes * SMALL_ENTRY_BYTES); return account.level }
  expect([600, 750, 600, 1000, 800, 600, 500, 600].map(levelAt)).toEqual(['normal', 'high', 'high', 'full', 'full', 'high', 'normal', 'normal'])
})

test('owners hear of room, which small entries find up to the limit, and an account without a limit has always room', () => {
  const account = new MemoryAccount({ limitBytes: LIMIT_BYTES })
  let calls = 0
  account.onRoom = () => { calls++ }
  const body = 100 * SMALL_ENTRY_BYTES
  const entry = account.open('queued', 700 * SMALL_ENTRY_BYTES)
  expect([account.hasRoomFor(body), account.hasRoomFor(SMALL_ENTRY_BYTES - 1), calls]).toEqual([false, true, 0])
  entry.set(body)
  expect([account.hasRoomFor(body), calls]).toEqual([true, 1])
  const unbounded = new MemoryAccount()
  unbounded.open('answer', 1e12)
  expect([unbounded.hasRoomFor(1e12), unbounded.level]).toEqual([true, 'normal'])
})

test('the window shrinks as the account fills, within its bounds', () => {
  const MB = 2 ** 20
  const windowAt = (heldBytes: number) => answerWindowBytes({ yieldingBytes: heldBytes, lowMarkBytes: 20 * MB })
  expect([0, 10 * MB, 20 * MB, 40 * MB].map(windowAt)).toEqual([20 * MB / 32, 10 * MB / 32, MIN_WINDOW_BYTES, MIN_WINDOW_BYTES])
  expect(answerWindowBytes(new MemoryAccount())).toBe(MAX_WINDOW_BYTES)
})
