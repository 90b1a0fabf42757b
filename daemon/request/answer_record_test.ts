import { expect, test } from 'vitest'
import { describeDecision } from '../log/index.ts'
import { AnswerRecord } from './_answer_record.ts'

const ENDED = { outcome: 'answered', why: 'whole', afterMs: 1, pieces: 1, attempts: 1, deadlineMs: 9000 }

test('the last line of a request names what marked the end of its answer, and what was not passed on', () => {
  // Guards against a log that cannot tell a lost event, an unmarked end and a sound stream apart.
  const record = new AnswerRecord()
  for (const result of ['taken', 'doubled', 'conflict', 'conflict', 'held', 'taken'] as const) record.added(result)
  record.withoutId()
  expect(record.parts).toEqual({ withoutId: 1, dropped: { doubled: 1, conflict: 2 }, held: 1 })
  record.ended({ status: 200, headers: [['Connection', 'close']] })
  expect(describeDecision('request-ended', { ...ENDED, ...record.parts })).toBe('answered: whole, ended by its connection alone, 1 doubled, 2 conflict, 1 held behind a gap, 1 without an id')
})

test('the last line of a request says nothing of parts that its answer does not have', () => {
  const record = new AnswerRecord()
  record.added('taken')
  record.ended({ status: 200, headers: [['Transfer-Encoding', 'chunked']] })
  expect(record.parts).toEqual({ framing: 'chunks' })
  expect(describeDecision('request-ended', { ...ENDED, ...record.parts })).toBe('answered: whole')
})
