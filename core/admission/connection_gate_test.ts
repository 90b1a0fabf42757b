import { expect, test } from 'vitest'
import { ConnectionGate } from './connection_gate.ts'

const MANY = 30

test.each<[string, number[], boolean]>([
  ['a daemon that accepts in time takes connections', [5, 20, 150, 60], true],
  ['one connection that waits for long closes nothing', [5, 300, 20, 300], true],
  ['connections in a row that wait for long close the gate', [300, 300], false],
  ['the gate stays closed until connections are accepted in time again', [300, 300, 30, 150, 30], false],
  ['two connections in a row that are accepted in time open the gate', [300, 300, 150, 30, 30], true],
  ['a gate that opened closes again', [300, 300, 30, 30, 300, 300], false]
])('%s', (_, waits, isOpen) => {
  const gate = new ConnectionGate()
  for (const waitMs of waits) gate.sample({ waitMs, ranMs: waitMs, ahead: MANY })
  expect(gate.isOpen).toBe(isOpen)
})

test('a process that is slow, but not for connections that wait, takes new ones', () => {
  // Guards against closing the connections of the few callers of a daemon whose host is busy with something else.
  const gate = new ConnectionGate()
  for (let i = 0; i < 5; i++) gate.sample({ waitMs: 800, ranMs: 800, ahead: 1 })
  expect(gate.isOpen).toBe(true)
})

test('connections ahead count over all samples in a row', () => {
  // Guards against a gate of a daemon on a small share of a core that never closes, because it accepts few connections within one sample.
  const gate = new ConnectionGate()
  expect([6, 6].map((ahead) => gate.sample({ waitMs: 300, ranMs: 300, ahead }))).toEqual([false, true])
  expect(gate.isOpen).toBe(false)
})

test.each([
  ['that is stopped', [[325, 44, 1], [202, 78, 20]]],
  ['that is stopped for a second', [[237, 113, 5], [234, 70, 1], [1225, 86, 16]]],
  ['that gets a third of a core for most of a second', [[244, 74, 3], [203, 71, 2], [216, 61, 7]]]
])('a process %s takes connections', (_, samples) => {
  // Guards against closing the connections of a few callers because the host is busy with other processes.
  const gate = new ConnectionGate()
  for (const [waitMs, ranMs, ahead] of samples) gate.sample({ waitMs: waitMs!, ranMs: ranMs!, ahead: ahead! })
  expect(gate.isOpen).toBe(true)
})

test('processor time counts over all samples in a row, and for no longer than they waited', () => {
  // Guards against a gate of a daemon on a small share of a core that never closes, and against one that counts the work of other threads of the process.
  const sampled = (ranMs: number) => {
    const gate = new ConnectionGate()
    return Array.from({ length: 8 }, () => gate.sample({ waitMs: 201, ranMs, ahead: MANY })).indexOf(true) + 1
  }
  expect([201, 100, 50, 600].map(sampled)).toEqual([2, 4, 8, 2])
})

test('a sample says whether it changed the gate', () => {
  const gate = new ConnectionGate()
  expect([100, 300, 300, 300, 10, 10, 10].map((waitMs) => gate.sample({ waitMs, ranMs: waitMs, ahead: MANY }))).toEqual([false, false, true, false, false, true, false])
})
