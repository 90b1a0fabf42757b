import { expect, test } from 'vitest'
import { as, type AccountId } from '../ids/index.ts'
import { QuotaStock } from './index.ts'

const ACCOUNT = as<AccountId>('council')

test('a stock is what the account used in one lifetime, and a second draw waits for the end of the first', () => {
  const stock = new QuotaStock({ lifetimeMs: 200 })
  expect(stock.take(ACCOUNT, 100, 0)).toBe(false)
  expect(stock.startDraw(ACCOUNT, 100, 0)).toBe(100)
  expect(stock.startDraw(ACCOUNT, 100, 10)).toBe(0)
  stock.countGrant(ACCOUNT, 100, 10)
  stock.endDraw(ACCOUNT, 100, 0)
  expect([stock.take(ACCOUNT, 60, 50), stock.take(ACCOUNT, 60, 50), stock.take(ACCOUNT, 40, 50)]).toEqual([true, false, true])
})

test('what was not used in its lifetime is lost', () => {
  // Guards against a daemon that was paused or cut off and uses quota that its keeper has long granted to others.
  const stock = new QuotaStock({ lifetimeMs: 200 })
  stock.countGrant(ACCOUNT, 100, 0)
  stock.startDraw(ACCOUNT, 0, 0)
  stock.endDraw(ACCOUNT, 100, 0)
  expect(stock.take(ACCOUNT, 30, 100)).toBe(true)
  expect(stock.take(ACCOUNT, 10, 200)).toBe(false)
  stock.removeExpired(200)
  expect(stock.take(ACCOUNT, 1, 200)).toBe(false)
})

test('a draw that was not granted leaves nothing and allows the next one', () => {
  const stock = new QuotaStock({ lifetimeMs: 200 })
  stock.countGrant(ACCOUNT, 10, 0)
  stock.startDraw(ACCOUNT, 0, 0)
  stock.endDraw(ACCOUNT, 0, 0)
  expect(stock.take(ACCOUNT, 10, 1)).toBe(false)
  expect(stock.startDraw(ACCOUNT, 0, 1)).toBeGreaterThan(0)
})

test('requests that are not granted and asked again do not count as used', () => {
  // Guards against a held request whose retries multiply the amount that is drawn ahead.
  const stock = new QuotaStock({ lifetimeMs: 200 })
  for (let now = 0; now < 100; now += 10) expect(stock.take(ACCOUNT, 10, now)).toBe(false)
  expect(stock.startDraw(ACCOUNT, 10, 100)).toBe(10)
})

test('a request without cost does not keep later ones from drawing', () => {
  const stock = new QuotaStock({ lifetimeMs: 200 })
  expect(stock.startDraw(ACCOUNT, 0, 0)).toBe(0)
  expect(stock.startDraw(ACCOUNT, 10, 0)).toBe(10)
})

test('what was drawn for an account whose quota changed is lost, with a draw that is under way', () => {
  // Guards against a request that is charged in tokens to a stock of requests.
  const stock = new QuotaStock({ lifetimeMs: 200 })
  expect(stock.startDraw(ACCOUNT, 10, 0)).toBe(10)
  stock.remove(ACCOUNT)
  stock.endDraw(ACCOUNT, 10, 0)
  expect(stock.take(ACCOUNT, 1, 1)).toBe(false)
  expect(stock.startDraw(ACCOUNT, 10, 1)).toBe(10)
  stock.endDraw(ACCOUNT, 10, 1)
  stock.remove(ACCOUNT)
  expect(stock.take(ACCOUNT, 1, 2)).toBe(false)
})
