import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import path from 'node:path'
import { afterEach, expect, test } from 'vitest'
import { freePorts } from '../platform/standins/free_ports.ts'
import { Rig, respondWith, waitUntil } from '../platform/standins/rig.ts'

let rig: Rig | undefined
let child: ChildProcess | undefined
afterEach(async () => {
  child?.kill('SIGKILL')
  await rig?.close()
  rig = undefined
})

/** Starts a daemon by the command line in a separate process, on a platform with one endpoint. */
async function startDaemon () {
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
  child = spawn(process.execPath, ['--import', 'tsx', 'cli/main.ts', 'serve'], { env: { ...process.env, VERBENATILLER_SETTINGS: file } })
  child.stdout!.on('data', (part) => { output += String(part) })
  const exited = new Promise<number | null>((resolve) => child!.on('exit', resolve))
  const status = () => fetch(`http://${at(readiness)}/readyz`).then((res) => res.status, () => 0)
  await waitUntil(async () => await status() === 200)
  return { write, status, exited, events: () => output.split('\n').filter((line) => line.startsWith('{')).map((line) => JSON.parse(line) as Record<string, unknown>) }
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
