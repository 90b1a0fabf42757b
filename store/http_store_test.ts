import { afterEach, beforeEach, expect, test } from 'vitest'
import { NO_VERSION } from '../core/store_version/index.ts'
import { serveObjectApi, StandInStore, type Listening } from '../standins/index.ts'
import { HttpStore, writeAndVerify, type StoreFailure } from './index.ts'

let standIn: StandInStore
let served: Listening
let store: HttpStore

beforeEach(async () => {
  standIn = new StandInStore()
  served = await serveObjectApi(standIn)
  store = new HttpStore({ url: served.url, timeoutMs: 500 })
})
afterEach(async () => { await served.close() })

const failureOf = (call: Promise<unknown>) => call.then(() => 'none', (err: { failure: StoreFailure }) => err.failure)

test('objects are created once, updated only at their version, listed in pages and watched', async () => {
  const version = await store.create('a/1', 'one')
  expect(await failureOf(store.create('a/1', 'again'))).toBe('conflict')
  const next = await store.update('a/1', 'two', version)
  expect(await failureOf(store.update('a/1', 'three', version))).toBe('conflict')
  expect(await store.get('a/1')).toEqual({ key: 'a/1', version: next, value: 'two' })
  expect(await store.get('none')).toBeUndefined()
  await store.create('a/2', 'x')
  expect((await store.list('a/', { limit: 1 })).map(({ key }) => key)).toEqual(['a/1'])
  expect((await store.list('a/', { after: 'a/1' })).map(({ key }) => key)).toEqual(['a/2'])
  const watching = store.changes('a/', { after: next, waitMs: 1000 })
  await store.update('a/1', 'four', next)
  expect((await watching).objects.map(({ value }) => value)).toContain('x')
  await store.remove('a/2', (await store.get('a/2'))!.version)
  expect(await store.get('a/2')).toBeUndefined()
})

test('a refused write is not-applied, a lost answer is unsure, and reading back resolves it', async () => {
  standIn.faults.down = true
  expect(await failureOf(store.create('k', 'v'))).toBe('not-applied')
  standIn.faults.down = false
  standIn.faults.loseAnswers = 1
  expect(await failureOf(store.create('k', 'v'))).toBe('unsure')
  standIn.faults.loseAnswers = 1
  expect(await writeAndVerify(store, 'sure', { writeId: 'w', data: 1, version: NO_VERSION })).toMatchObject({ applied: true })
  expect(await writeAndVerify(store, 'sure', { writeId: 'other', data: 2, version: NO_VERSION })).toMatchObject({ applied: false, data: 1 })
})

test('a call that times out is unsure, and a refused connection is not-applied', async () => {
  standIn.faults.slowMs = 2000
  expect(await failureOf(store.create('k', 'v'))).toBe('unsure')
  await served.close()
  expect(await failureOf(store.create('k', 'v'))).toBe('not-applied')
})
