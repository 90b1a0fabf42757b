import fc from 'fast-check'
import { expect, test } from 'vitest'
import { as, type AccountId } from '../ids/index.ts'
import { FairQueue, FifoQueue, type Waiting, type WorkQueue } from './index.ts'

const SEED = 5
const LARGEST = 500
const waiting = (account: string, change: Partial<Waiting<number>> = {}): Waiting<number> => ({ account: as<AccountId>(account), tokens: 100, startByMs: 1000, urgent: false, item: 0, ...change })

function takeAll (queue: WorkQueue<number>): Waiting<number>[] {
  const taken: Waiting<number>[] = []
  for (let next = queue.peek(); next; next = queue.peek()) {
    queue.remove(next)
    taken.push(next)
  }
  return taken
}

test('a small account does not wait behind a large one', () => {
  // A claimants' status check times out at month end: a council's portal sends its whole batch at once, and in one queue everybody
  // else waits behind it.
  const queue = new FairQueue<number>()
  for (let i = 0; i < 50; i++) queue.push(waiting('large'))
  queue.push(waiting('small'))
  expect(queue.ahead(as('small'), false)).toBe(1 + 2)
  expect(takeAll(queue).findIndex(({ account }) => account === 'small')).toBeLessThanOrEqual(1)
})

test('urgent work goes before long work, and an idle account saves up nothing', () => {
  const queue = new FairQueue<number>()
  for (let i = 0; i < 5; i++) queue.push(waiting('busy'))
  for (let i = 0; i < 4; i++) queue.remove(queue.peek()!)
  for (let i = 0; i < 5; i++) queue.push(waiting('idle'))
  queue.push(waiting('busy', { urgent: true, item: 1 }))
  const order = takeAll(queue)
  expect(order[0]!.item).toBe(1)
  expect(order.slice(1, 4).map(({ account }) => account)).toContain('busy')
})

test('what cannot start in time leaves the queue, once', () => {
  const queue = new FairQueue<number>()
  queue.push(waiting('a', { startByMs: 5 }))
  queue.push(waiting('a', { startByMs: 50 }))
  expect(queue.expire(10)).toHaveLength(1)
  expect(queue.expire(10)).toHaveLength(0)
  expect(queue.length).toBe(1)
})

test('against one queue for all: the same work in all, and whoever is served is at most one request ahead of those that wait', () => {
  const entry = fc.record({ account: fc.constantFrom('a', 'b', 'c', 'd'), tokens: fc.integer({ min: 1, max: LARGEST }) })
  fc.assert(fc.property(fc.array(entry, { minLength: 1, maxLength: 60 }), (entries) => {
    const [fair, fifo] = [new FairQueue<number>(), new FifoQueue<number>()]
    entries.forEach(({ account, tokens }, item) => [fair, fifo].forEach((queue) => queue.push(waiting(account, { tokens, item }))))
    const [fairly, inOrder] = [takeAll(fair), takeAll(fifo)]
    expect(new Set(fairly.map(({ item }) => item))).toEqual(new Set(inOrder.map(({ item }) => item)))
    const served = new Map<string, number>()
    fairly.forEach(({ account, tokens }, i) => {
      for (const other of new Set(fairly.slice(i).map((each) => each.account))) {
        expect(served.get(account) ?? 0).toBeLessThanOrEqual((served.get(other) ?? 0) + LARGEST)
      }
      served.set(account, (served.get(account) ?? 0) + tokens)
    })
  }), { seed: SEED, numRuns: 100 })
})
