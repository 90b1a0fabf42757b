import { expect, test } from 'vitest'
import { as, type EndpointId } from '../ids/index.ts'
import { PERMIT_TTL_MS, PermitStock } from './index.ts'

const A = as<EndpointId>('a')

test('a permit is used once and expires', () => {
  const stock = new PermitStock()
  stock.add([[A, 2]], 0)
  expect([stock.take(A, 1), stock.count(A, 1), stock.take(A, 2), stock.take(A, 3)]).toEqual([true, 1, true, false])
  stock.add([[A, 1]], 10)
  stock.add([[A, 1]], 500)
  expect([stock.count(A, 10 + PERMIT_TTL_MS), stock.count(A, 500 + PERMIT_TTL_MS)]).toEqual([1, 0])
  expect([stock.takeExpired(5000), stock.takeExpired(5000)]).toEqual([[[A, 2]], []])
})
