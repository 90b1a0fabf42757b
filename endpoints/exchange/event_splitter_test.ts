import fc from 'fast-check'
import { expect, test } from 'vitest'
import { EventSplitter } from './event_splitter.ts'

const STREAM = fc.array(fc.constantFrom('\n', '\r\n', '\r', 'id: 7', 'data: x', 'id:8', ': comment', 'x'), { maxLength: 40 }).map((lines) => lines.join(''))

test('events are the same however their bytes are cut into chunks', () => {
  // Guards against an event whose end is missed, or found twice, where a chunk ends within the empty line.
  fc.assert(fc.property(STREAM, fc.array(fc.integer({ min: 1, max: 5 }), { minLength: 1 }), (text, sizes) => {
    const bytes = Buffer.from(text)
    const whole = new EventSplitter()
    const expected = whole.push(bytes).map(({ bytes, id }) => [bytes.toString(), id])
    const cut = new EventSplitter()
    const events = []
    for (let at = 0, i = 0; at < bytes.length; i++) {
      const size = sizes[i % sizes.length]!
      events.push(...cut.push(bytes.subarray(at, at + size)))
      at += size
    }
    expect(events.map(({ bytes, id }) => [bytes.toString(), id])).toEqual(expected)
    expect(cut.pendingBytes).toBe(whole.pendingBytes)
    expect(expected.map(([event]) => event).join('').length + cut.pendingBytes).toBe(bytes.length)
  }), { numRuns: 2000, seed: 11 })
})

test('an event ends with an empty line, whose line breaks may have a carriage return', () => {
  const splitter = new EventSplitter()
  expect(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3')).map(({ bytes, id }) => [bytes.toString(), id])).toEqual([['id: 1\ndata: a\n\n', 1], ['id: 2\r\ndata: b\r\n\r\n', 2]])
  expect(splitter.pendingBytes).toBe(5)
})
