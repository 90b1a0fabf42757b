import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { afterEach, beforeEach, expect, test, vi } from 'vitest'
import { InvalidError } from '../core/config/validate.ts'
import { loadSettings } from '../daemon/settings.ts'
import { log } from '../daemon/log/index.ts'
import { readOnceWritten } from './_settings_file.ts'
import { isPlatformSettings } from './settings_kind.ts'
import { watchSettings } from './settings_watch.ts'

vi.mock('../daemon/log/index.ts', async (original) => ({ ...await original<object>(), log: vi.fn() }))

const WHOLE = JSON.stringify({ name: 'edge', failureDomain: 'a', address: '127.0.0.1', ports: { callers: 0, operators: 0, peers: 0 }, platform: { objectApi: 'http://127.0.0.1:1', cloudApi: 'http://127.0.0.1:1' }, peerSecret: 'shared secret' })
let file: string
beforeEach(() => {
  vi.useFakeTimers()
  file = path.join(mkdtempSync(path.join(tmpdir(), 'settings-')), 'settings.json')
})
afterEach(() => {
  vi.useRealTimers()
  process.removeAllListeners('SIGHUP')
})

test('settings that are missing, empty and then half written at the start are read once they are whole', async () => {
  // Guards against a process that ends because its settings are rewritten while it starts.
  const reading = readOnceWritten(() => loadSettings(file))
  for (const text of ['', WHOLE.slice(0, WHOLE.length / 2), WHOLE]) {
    await vi.advanceTimersByTimeAsync(200)
    writeFileSync(file, text)
  }
  await vi.advanceTimersByTimeAsync(200)
  expect(await reading).toMatchObject({ name: 'edge' })
})

test('the kind of settings is not taken from a part of the file', () => {
  writeFileSync(file, '{"ada')
  expect(() => isPlatformSettings(file)).toThrow(InvalidError)
  writeFileSync(file, '{"adapter": "platform", // of the users\n}')
  expect(isPlatformSettings(file)).toBe(true)
})

test('settings that stay invalid are an error', async () => {
  writeFileSync(file, '{}')
  const reading = readOnceWritten(() => loadSettings(file))
  const failed = expect(reading).rejects.toThrow(InvalidError)
  await vi.advanceTimersByTimeAsync(3100)
  await failed
})

test('settings that are nested too deep to be parsed are refused while a daemon runs', () => {
  // Guards against a process that ends because its settings file was replaced.
  writeFileSync(file, `{"seeds":${'['.repeat(20_000)}`)
  expect(() => watchSettings(file, { reload: () => { loadSettings(file); return { changed: [], needRestart: [] } }, reloadOnStart: true })).not.toThrow()
  expect(log).toHaveBeenCalledWith('settings-refused', { problems: [expect.any(String)] })
})
