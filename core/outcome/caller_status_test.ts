import { expect, test } from 'vitest'
import { isNotRunStatus, mayPassOn, ownStatus, type EndCause, type Outcome } from './index.ts'

const OUTCOMES: Outcome[] = ['answered', 'not-run', 'unknown']
const CAUSES: EndCause[] = ['failed', 'out-of-time', 'leaving']

test('a status is passed on unless it promises that a request has not run which may have', () => {
  // Guards against callers that send a request again after a status which its endpoint wrote without meaning that promise.
  for (let status = 200; status < 600; status++) {
    for (const outcome of OUTCOMES) {
      const isPromise = [408, 421, 429, 503].includes(status)
      expect([status, outcome, mayPassOn(status, { outcome, mayRunAgain: false })]).toEqual([status, outcome, !isPromise || outcome === 'not-run'])
      expect(mayPassOn(status, { outcome, mayRunAgain: true })).toBe(true)
    }
  }
})

test('answers of the daemon\'s own promise that a request has not run exactly if that is certain', () => {
  for (const cause of CAUSES) expect([isNotRunStatus(ownStatus('not-run', cause)), isNotRunStatus(ownStatus('unknown', cause))]).toEqual([true, false])
})
