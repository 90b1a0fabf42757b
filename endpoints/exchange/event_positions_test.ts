import { expect, test } from 'vitest'
import { EventPositions, type EventPositionsOptions } from './event_positions.ts'
import { EventSplitter } from './event_splitter.ts'

const BLOCKS = { C: ': comment\n\n', D: 'data: d\n\n' }
const textOf = (block: string) => (block in BLOCKS ? BLOCKS[block as keyof typeof BLOCKS] : `id: ${block}\ndata: t\n\n`)

/** Places blocks: a number is the id of an event, C a comment, D an event without an id. Returns each placed event as its position and the blocks that it consists of, and the rest. */
function place (blocks: string, options: Partial<EventPositionsOptions> = {}): string {
  const positions = new EventPositions({ from: 0, ...options })
  const nameOf = (bytes: Buffer | undefined) => new EventSplitter().push(bytes ?? Buffer.alloc(0)).map((each) => each.id ?? (each.isEvent ? 'D' : 'C')).join('')
  const placed = new EventSplitter().push(Buffer.from([...blocks].map(textOf).join(''))).map((event) => positions.place(event)).filter((each) => each !== undefined)
  return [...placed.map((each) => (each === 'misplaced' ? each : `${each.offset}:${nameOf(each.bytes)}`)), `${positions.next}:${nameOf(positions.takeRest())}`].join(' ')
}

test.each<[string, string, string, Partial<EventPositionsOptions>?]>([
  ['events with ids', '123', '0:1 1:2 2:3 3:'],
  ['a comment before an event', 'C1CC2', '0:C1 1:CC2 2:'],
  ['an event without an id among others', '1D2', '0:1 1:D2 2:'],
  ['what follows the last event', '1CD', '0:1 1:CD'],
  ['a stream that goes on', '56', '4:5 5:6 6:', { from: 4 }],
  ['a stream that goes on with an event without an id', 'D5', '4:D5 5:', { from: 4, haveIds: true }],
  ['events without any ids', 'DCDD', '0:D 1:CD 2:D 3:'],
  ['events whose ids begin after others without one', 'DD1', '0:D 1:D misplaced 2:'],
  ['an event that comes twice', '12C2D3', '0:1 1:2 1:2 2:CD3 3:'],
  ['a run that begins anew', '12', '0:1 1:2 2:', { from: 5 }]
])('positions are read from ids: %s', (_what, blocks, expected, options) => {
  // Guards against blocks that take the position of an event, and against events that are passed on without one.
  expect(place(blocks, options)).toBe(expected)
})
