import { execFileSync, spawn, type ChildProcess } from 'node:child_process'
import { constants, mkdtempSync, openSync, writeFileSync, writeSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { afterEach, expect, test } from 'vitest'
import { delay } from '../core/time/index.ts'
import { freePorts } from '../platform/standins/free_ports.ts'
import { Rig, respondWith, waitUntil } from '../platform/standins/rig.ts'

/** Interval at which the log is written, in milliseconds, with time to spare. */
const LOG_WRITTEN_MS = 1000
const CALL_TIMEOUT_MS = 2000
/** Time within which a process that drains exits, in milliseconds. */
const GRACE_MS = 5000

let rig: Rig | undefined
let child: ChildProcess | undefined
afterEach(async () => {
  child?.kill('SIGKILL')
  await rig?.close()
  rig = undefined
})

/** Starts a daemon by the command line in a separate process, on a platform with one endpoint. `stdout` is a file descriptor; without it, the output is read. */
async function startDaemon (stdout: number | 'pipe' = 'pipe') {
  rig = await Rig.start({ daemons: 0 })
  await rig.endpoint('desk', (req) => respondWith(req, 200, 'served'))
  const [callers, readiness, peers, monitor] = await freePorts(4)
  const at = (port: number | undefined) => `127.0.0.1:${port}`
  const settings = {
    adapter: 'platform',
    name: 'edge-0',
    failureDomain: 'a',
    listen: { callers: at(callers), readiness: at(readiness), peers: at(peers) },
    monitor: { host: '127.0.0.1', port: monitor },
    seeds: [],
    store: rig.store.address,
    duties: at(1),
    bounds: { grace_s: 5, retry_budget_ratio: 0.2, retry_window_s: 10, retry_min_extra: 58, quota_window_s: 8, quota_overshoot: 0.1, quota_slack: 1000, lease_ms: 3000, report_window_s: 5, usage_late_s: 10 }
  }
  const file = path.join(mkdtempSync(path.join(tmpdir(), 'serve-')), 'settings.json')
  const write = (change: object) => writeFileSync(file, JSON.stringify({ ...settings, ...change }))
  write({})
  let output = ''
  child = spawn(process.execPath, ['--import', 'tsx', 'cli/main.ts', 'serve'], { env: { ...process.env, VERBENATILLER_SETTINGS: file }, stdio: ['ignore', stdout, 'inherit'] })
  child.stdout?.on('data', (part) => { output += String(part) })
  const exited = new Promise<number | null>((resolve) => child!.on('exit', resolve))
  const status = () => fetch(`http://${at(readiness)}/readyz`).then((res) => res.status, () => 0)
  await waitUntil(async () => await status() === 200)
  const call = () => fetch(`http://${at(callers)}/check/1`, { headers: { 'verbenatiller-request-id': 'r', 'verbenatiller-key': 'key-of-council' }, signal: AbortSignal.timeout(CALL_TIMEOUT_MS) }).then((res) => res.status, () => 0)
  return { write, status, call, exited, events: () => output.split('\n').filter((line) => line.startsWith('{')).map((line) => JSON.parse(line) as Record<string, unknown>) }
}

test('a daemon reloads its settings on SIGHUP and when they change, keeps the old ones if they are invalid, and drains on SIGTERM', async () => {
  // Guards against lost answers when settings are reloaded: SIGHUP terminates a process without a handler for it.
  const { write, status, exited, events } = await startDaemon()
  const seen = (event: string) => events().filter((line) => line.event === event)
  child!.kill('SIGHUP')
  await waitUntil(() => seen('settings-read').length === 1)
  write({ seeds: ['127.0.0.1:9'] })
  await waitUntil(() => seen('settings-read').some(({ changed }) => String(changed) === 'seeds'))
  write({ store: 'nowhere' })
  await waitUntil(() => seen('settings-refused').length > 0)
  expect(seen('settings-refused')[0]!.problems).toEqual([expect.stringContaining('store')])
  expect(await status()).toBe(200)
  child!.kill('SIGTERM')
  expect(await exited).toBe(0)
  expect(events().map(({ event }) => event)).toEqual(expect.arrayContaining(['daemon-started', 'config-in-force', 'endpoint-listed', 'daemon-draining', 'daemon-left']))
}, 30_000)

/** Opens a pipe that is full and is not read. */
function fullPipe (): number {
  const file = path.join(mkdtempSync(path.join(tmpdir(), 'pipe-')), 'log')
  execFileSync('mkfifo', [file])
  const reader = openSync(file, constants.O_RDWR | constants.O_NONBLOCK)
  try {
    for (;;) writeSync(reader, Buffer.alloc(1024))
  } catch { /* it is full */ }
  return openSync(file, constants.O_WRONLY)
}

test.each([
  ['has no space left', () => openSync('/dev/full', 'w')],
  ['is not read', fullPipe]
])('a daemon whose log %s serves requests and exits in time', async (_what, open) => {
  // Guards against a daemon that stands still, or does not exit, because its log cannot be written.
  const { call, exited } = await startDaemon(open())
  await call()
  await delay(LOG_WRITTEN_MS)
  // Neither has a host to route by, which any answer of the daemon shows.
  expect(await call()).toBe(404)
  child!.kill('SIGTERM')
  expect(await Promise.race([exited.then(() => 'exited'), delay(GRACE_MS).then(() => 'still runs')])).toBe('exited')
}, 30_000)
