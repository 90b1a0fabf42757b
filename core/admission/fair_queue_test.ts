import fc from 'fast-check'
import { expect, test } from 'vitest'
import { as, type AccountId } from '../ids/index.ts'
import { FairQueue, FifoQueue, type QueuedRequest, type RequestQueue } from './index.ts'

const SEED = 5
const MAX_TOKENS = 500
const waiting = (account: string, change: Partial<QueuedRequest<number>> = {}): QueuedRequest<number> => ({ account: as<AccountId>(account), tokens: 100, startByMs: 1000, urgent: false, item: 0, ...change })

function drain (queue: RequestQueue<number>): QueuedRequest<number>[] {
  const taken: QueuedRequest<number>[] = []
  for (let next = queue.peek(); next; next = queue.peek()) {
    queue.remove(next)
    taken.push(next)
  }
  return taken
}

test('an account with few requests does not wait behind one with many', () => {
  // Guards against timeouts of small accounts while a large account sends a batch, which they would wait behind in a single queue.
  const queue = new FairQueue<number>()
  for (let i = 0; i < 50; i++) queue.push(waiting('large'))
  queue.push(waiting('small'))
  expect(queue.ahead(as('small'), false)).toBe(1 + 2)
  expect(drain(queue).findIndex(({ account }) => account === 'small')).toBeLessThanOrEqual(1)
})

test('urgent requests go first, and an idle account accumulates no credit', () => {
  const queue = new FairQueue<number>()
  for (let i = 0; i < 5; i++) queue.push(waiting('busy'))
  for (let i = 0; i < 4; i++) queue.remove(queue.peek()!)
  for (let i = 0; i < 5; i++) queue.push(waiting('idle'))
  queue.push(waiting('busy', { urgent: true, item: 1 }))
  const order = drain(queue)
  expect(order[0]!.item).toBe(1)
  expect(order.slice(1, 4).map(({ account }) => account)).toContain('busy')
})

test('a request that can no longer start in time is expired once', () => {
  const queue = new FairQueue<number>()
  queue.push(waiting('a', { startByMs: 5 }))
  queue.push(waiting('a', { startByMs: 50 }))
  expect(queue.expire(10)).toHaveLength(1)
  expect(queue.expire(10)).toHaveLength(0)
  expect(queue.length).toBe(1)
})

test('compared with FIFO: the same requests are served, and no account is more than one request ahead of a waiting one', () => {
  const entry = fc.record({ account: fc.constantFrom('a', 'b', 'c', 'd'), tokens: fc.integer({ min: 1, max: MAX_TOKENS }) })
  fc.assert(fc.property(fc.array(entry, { minLength: 1, maxLength: 60 }), (entries) => {
    const [fair, fifo] = [new FairQueue<number>(), new FifoQueue<number>()]
    entries.forEach(({ account, tokens }, item) => [fair, fifo].forEach((queue) => queue.push(waiting(account, { tokens, item }))))
    const [fairOrder, fifoOrder] = [drain(fair), drain(fifo)]
    expect(new Set(fairOrder.map(({ item }) => item))).toEqual(new Set(fifoOrder.map(({ item }) => item)))
    const served = new Map<string, number>()
    fairOrder.forEach(({ account, tokens }, i) => {
      for (const other of new Set(fairOrder.slice(i).map((each) => each.account))) {
        expect(served.get(account) ?? 0).toBeLessThanOrEqual((served.get(other) ?? 0) + MAX_TOKENS)
      }
      served.set(account, (served.get(account) ?? 0) + tokens)
    })
  }), { seed: SEED, numRuns: 100 })
})
