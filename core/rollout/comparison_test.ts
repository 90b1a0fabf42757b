import { expect, test } from 'vitest'
import { seededRandom } from '../../daemon/seeded_random.ts'
import { as, type ClassName } from '../ids/index.ts'
import { addAnswers, answerBucket, AnswerHistory, timeBucket, classAnswers, compareVersions, groupAnswers, type Answers } from './index.ts'

interface RequestClass { name: string, failureRate: number }
interface AddOptions { count: number, share: number, newFailureRate?: (kind: RequestClass, group: number) => number, newSlowRate?: number, random: () => number }

const LETTER: RequestClass = { name: 'letter', failureRate: 0.004 }
const CHECK: RequestClass = { name: 'check', failureRate: 0.14 }
const QUIET: RequestClass = { name: 'quiet', failureRate: 0.004 }
const GROUPS = 5
const PREDICTED_MS = 100
const SLOW_FACTOR = 4

function addRandomAnswers (answers: Answers, kind: RequestClass, { count, share, newFailureRate = ({ failureRate }) => failureRate, newSlowRate = 0, random }: AddOptions): void {
  const counts = classAnswers(answers, as<ClassName>(kind.name))
  for (let i = 0; i < count; i++) {
    const isNew = random() < share
    const group = Math.floor(random() * GROUPS)
    const fails = random() < (isNew ? newFailureRate(kind, group) : kind.failureRate)
    const tookMs = PREDICTED_MS * Math.exp(random() - 0.5) * (isNew && random() < newSlowRate ? SLOW_FACTOR : 1)
    addAnswers(isNew ? groupAnswers(counts, group) : counts.old, fails ? 'failed' : timeBucket(tookMs, PREDICTED_MS), 1)
  }
}

const seeds = Array.from({ length: 20 }, (_, i) => 7919 * (i + 1))

test('a version that fails on every endpoint is found worse within a hundred answers', () => {
  for (const seed of seeds) {
    const answers: Answers = new Map()
    addRandomAnswers(answers, LETTER, { count: 1000, share: 0.1, newFailureRate: () => 0.3, random: seededRandom(seed) })
    expect(compareVersions(answers).verdict).toBe('worse')
  }
})

test('a version that is four times as slow for some requests is found worse, although every answer is correct', () => {
  for (const seed of seeds) {
    const answers: Answers = new Map()
    addRandomAnswers(answers, LETTER, { count: 1500, share: 0.1, newSlowRate: 0.4, random: seededRandom(seed) })
    expect(compareVersions(answers).verdict).toBe('worse')
  }
})

test('a fault on a low-traffic route only is not masked by a high-traffic route', () => {
  for (const seed of seeds) {
    const random = seededRandom(seed)
    const answers: Answers = new Map()
    addRandomAnswers(answers, LETTER, { count: 5000, share: 0.1, random })
    addRandomAnswers(answers, QUIET, { count: 100, share: 0.5, newFailureRate: () => 0.4, random })
    expect(compareVersions(answers).verdict).toBe('worse')
  }
})

test('a class with a high failure rate in both versions does not make the new version worse', () => {
  for (const seed of seeds) {
    const random = seededRandom(seed)
    const answers: Answers = new Map()
    for (const kind of [LETTER, CHECK, QUIET]) addRandomAnswers(answers, kind, { count: 600, share: 0.3, random })
    expect(compareVersions(answers).verdict).not.toBe('worse')
  }
})

test('a single faulty endpoint group does not make its version worse', () => {
  for (const seed of seeds) {
    const answers: Answers = new Map()
    addRandomAnswers(answers, LETTER, { count: 1500, share: 0.2, newFailureRate: ({ failureRate }, group) => (group === 0 ? 0.5 : failureRate), random: seededRandom(seed) })
    expect(compareVersions(answers).verdict).toBe('doubtful')
  }
})

test('a version that degrades late is detected by its recent answers', () => {
  const NOW_MS = 60_000
  const STEP_MS = 250
  for (const seed of seeds) {
    const random = seededRandom(seed)
    const answers: Answers = new Map()
    const history = new AnswerHistory()
    addRandomAnswers(answers, LETTER, { count: 20_000, share: 0.5, random })
    let verdict: string = ''
    for (let ms = 0; ms <= 4000; ms += STEP_MS) {
      addRandomAnswers(answers, LETTER, { count: 20, share: 1, newFailureRate: ms >= 3000 ? () => 0.4 : undefined, random })
      verdict = compareVersions(answers, history.record(structuredClone(answers), NOW_MS + ms)).verdict
      if (ms < 3000) expect(verdict).not.toBe('worse')
    }
    expect(compareVersions(answers).verdict).not.toBe('worse')
    expect(verdict).toBe('worse')
  }
})

test('the verdict is unknown without answers and while a class has few answers', () => {
  expect(compareVersions(new Map()).verdict).toBe('unknown')
  const answers: Answers = new Map()
  addRandomAnswers(answers, LETTER, { count: 100, share: 0.05, random: seededRandom(7) })
  expect(compareVersions(answers).verdict).toBe('unknown')
})

test('no false alarm at any check of two hundred good versions', () => {
  for (let seed = 1; seed <= 200; seed++) {
    const random = seededRandom(Math.imul(seed, 0x9e3779b1))
    const answers: Answers = new Map()
    const history = new AnswerHistory()
    for (let ms = 0; ms < 10_000; ms += 500) {
      for (const kind of [LETTER, CHECK, QUIET]) addRandomAnswers(answers, kind, { count: kind === LETTER ? 150 : 20, share: 0.1, random })
      expect(compareVersions(answers, history.record(structuredClone(answers), ms)).verdict).not.toBe('worse')
    }
  }
})

test('answers that were not timed say nothing about a version being slow, and count as answers that did not fail', () => {
  // Guards against a good version that is rolled back because the daemons were slow when only it answered.
  const answers: Answers = new Map()
  const counts = classAnswers(answers, as<ClassName>('letter'))
  addAnswers(counts.old, 0, 300)
  addAnswers(groupAnswers(counts, 0), 'untimed', 100)
  addAnswers(groupAnswers(counts, 1), 'untimed', 100)
  expect(compareVersions(answers).verdict).toBe('alike')
  for (const group of [0, 1]) addAnswers(groupAnswers(counts, group), 'failed', 30)
  expect(compareVersions(answers)).toMatchObject({ verdict: 'worse', strongest: { measure: 'failures', bad: 60, count: 260 } })
})

test('an answer is timed unless the daemon was unavailable for a third of its time', () => {
  const times = { tookMs: 300, predictedMs: 100 }
  expect(answerBucket({ ...times, unavailableMs: 0 })).toBe(timeBucket(300, 100))
  expect(answerBucket({ ...times, unavailableMs: 90 })).toBe(timeBucket(300, 100))
  expect(answerBucket({ ...times, unavailableMs: 110 })).toBe('untimed')
  expect(answerBucket({ tookMs: 20, predictedMs: 100, unavailableMs: 20 })).toBe(timeBucket(20, 100))
})

test('answers within their predicted time are not slow, however much sooner the old version answered', () => {
  // Guards against a good version that is rolled back because shorter times were predicted for it.
  const answers: Answers = new Map()
  const counts = classAnswers(answers, as<ClassName>('letter'))
  addAnswers(counts.old, -3, 300)
  for (const group of [0, 1]) addAnswers(groupAnswers(counts, group), -1, 100)
  expect(compareVersions(answers).verdict).toBe('alike')
  for (const group of [0, 1]) addAnswers(groupAnswers(counts, group), 1, 100)
  expect(compareVersions(answers)).toMatchObject({ verdict: 'worse', strongest: { measure: 'times', bad: 200, count: 400 } })
})
