import fc from 'fast-check'
import { expect, test } from 'vitest'
import { ByteCollector } from './byte_collector.ts'

test('bytes come out as they were put in, however they were cut into pieces', () => {
  fc.assert(fc.property(fc.array(fc.uint8Array({ maxLength: 3000 })), fc.nat(5000), (pieces, expectedBytes) => {
    const collector = new ByteCollector({ expectedBytes })
    for (const piece of pieces) collector.push(piece)
    const whole = Buffer.concat(pieces)
    expect(collector.length).toBe(whole.length)
    expect(collector.take().equals(whole)).toBe(true)
    expect([collector.length, collector.heldBytes]).toEqual([0, 0])
  }))
})

test('pieces of one byte take at most twice their bytes and one small block', () => {
  // Guards against callers and endpoints that make a process hold hundreds of times what they send.
  const collector = new ByteCollector()
  for (let length = 1; length <= 200_000; length++) {
    collector.push(Buffer.from('x'))
    if (collector.heldBytes > 2 * length + 1024) expect.fail(`${collector.heldBytes} bytes held for ${length}`)
  }
})

test('bytes that are expected take memory once', () => {
  const collector = new ByteCollector({ expectedBytes: 100_000 })
  for (let i = 0; i < 10; i++) collector.push(Buffer.alloc(10_000, 'x'))
  expect([collector.heldBytes, collector.take().length]).toEqual([100_000, 100_000])
})
