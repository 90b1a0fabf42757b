import { expect, test } from 'vitest'
import { as, type PoolName } from '../ids/index.ts'
import type { WorkClass } from '../work/index.ts'
import { UrgencyClassifier, type Account, type Route } from './index.ts'

const POOL = as<PoolName>('llm')
const cls = (name: string, priority: number, change: Partial<WorkClass> = {}): WorkClass => ({
  name: as(name), idempotent: true, streaming: true, resumable: true, cancelOnLeave: true, maxAttempts: 2, priority, urgent: false, latency: { firstTokenMs: 800, betweenTokensMs: 500, deadlineMs: 15_000 }, delivery: 0.999, ...change
})
const route = (of: WorkClass): Route => ({ host: 'a.example', pathPrefix: '/', cls: of, pools: [{ pool: POOL, weight: 1 }], anonymous: false })
const account = (priority: number | undefined): Account => ({ id: as('council'), priority, quota: undefined })

test('requests of the highest priority are urgent regardless of their deadline', () => {
  // Guards against the highest-priority class waiting behind another class that has a shorter deadline.
  const [review, letter] = [route(cls('review', 0)), route(cls('letter', 1, { urgent: true }))]
  const urgency = new UrgencyClassifier([review, letter])
  expect([urgency.classify(review, undefined).urgent, urgency.classify(letter, undefined).urgent]).toEqual([true, false])
})

test('the priority of an account overrides that of the class', () => {
  const [review, letter] = [route(cls('review', 1)), route(cls('letter', 0))]
  const urgency = new UrgencyClassifier([review, letter])
  expect([urgency.classify(review, account(0)).urgent, urgency.classify(letter, account(3)).urgent]).toEqual([true, false])
  expect(urgency.classify(review, account(undefined)).urgent).toBe(false)
})

test('plain calls are unchanged', () => {
  const plain = route(cls('check', 2, { streaming: false, urgent: true }))
  expect(new UrgencyClassifier([plain]).classify(plain, account(9))).toBe(plain.cls)
})
