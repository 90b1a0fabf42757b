import { expect, test } from 'vitest'
import { ConnectionGate } from './connection_gate.ts'

test.each<[string, number[], boolean]>([
  ['a daemon that accepts in time takes connections', [5, 20, 150, 60], true],
  ['a connection that waits for long closes the gate', [5, 300], false],
  ['the gate stays closed until connections are accepted in time again', [300, 30, 150, 30], false],
  ['two connections in a row that are accepted in time open the gate', [300, 150, 30, 30], true],
  ['a gate that opened closes again', [300, 30, 30, 300], false]
])('%s', (_, waits, isOpen) => {
  const gate = new ConnectionGate()
  for (const each of waits) gate.sample(each)
  expect(gate.isOpen).toBe(isOpen)
})

test('a sample says whether it changed the gate', () => {
  const gate = new ConnectionGate()
  expect([100, 300, 300, 10, 10, 10].map((waitMs) => gate.sample(waitMs))).toEqual([false, true, false, false, true, false])
})
