// Guards against slow restarts, during which callers wait: without an accepted code cache, a daemon recompiles all code that its first requests
// need, and on a host with an eighth of a core the first answer after the loss of all hosts comes 2.6 s after power is restored. The code cache
// contains the code that a daemon ran while it served requests during the build.
import { spawn, spawnSync } from 'node:child_process'
import { once } from 'node:events'
import { mkdirSync, mkdtempSync, rmSync, statSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { expect, test } from 'vitest'
import { delay } from '../core/time/index.ts'
import { freePorts } from '../platform/standins/free_ports.ts'

/** Lower bound for the code cache of a daemon that served requests, 1.7 MB. That of a daemon that was only loaded has 1.1 MB. */
const MIN_CACHE_BYTES = 1_400_000

test('a build warms up its daemon and creates a code cache that the next start accepts', () => {
  mkdirSync('target', { recursive: true })
  // Left by an earlier build of other code.
  writeFileSync('target/bundle.cache', 'compiled code of another build')
  const built = spawnSync(process.execPath, ['scripts/bundle.mjs'], { encoding: 'utf8' })
  expect([built.status, built.stderr]).toEqual([0, ''])
  expect(statSync('target/bundle.cache').size).toBeGreaterThan(MIN_CACHE_BYTES)
  const run = spawnSync(process.execPath, ['target/verbenatiller.cjs', '--help'], { encoding: 'utf8' })
  expect(run.stdout).toContain('serve')
  expect([run.status, run.stderr]).toEqual([0, ''])
})

test('a SIGHUP during startup does not terminate a daemon', async () => {
  // Guards against a settings change while a daemon restarts.
  const folder = mkdtempSync(join(tmpdir(), 'early-hangup-'))
  const [callers, readiness, peers] = await freePorts(3)
  const at = (port: number | undefined) => `127.0.0.1:${port}`
  writeFileSync(join(folder, 'settings.json'), JSON.stringify({
    adapter: 'platform',
    name: 'edge-0',
    failureDomain: 'a',
    listen: { callers: at(callers), readiness: at(readiness), peers: at(peers) },
    store: at(1),
    duties: at(1),
    bounds: { grace_s: 5, retry_budget_ratio: 0.2, retry_window_s: 10, retry_min_extra: 58, quota_window_s: 8, quota_overshoot: 0.1, quota_slack: 1000, lease_ms: 3000, report_window_s: 5, usage_late_s: 10 }
  }))
  writeFileSync(join(folder, 'hang_up.cjs'), "setImmediate(() => process.kill(process.pid, 'SIGHUP'))")
  const child = spawn(process.execPath, ['--require', join(folder, 'hang_up.cjs'), 'target/verbenatiller.cjs', 'serve', '--settings', join(folder, 'settings.json')], { stdio: 'ignore' })
  const statusOf = () => fetch(`http://${at(readiness)}/readyz`).then(({ status }) => status, () => 0)
  while (child.signalCode === null && await statusOf() !== 503) await delay(20)
  expect(child.signalCode).toBeNull()
  child.kill('SIGKILL')
  rmSync(folder, { recursive: true })
})

function childPids (pid: number): string[] {
  return spawnSync('ps', ['-o', 'pid=', '--ppid', String(pid)], { encoding: 'utf8' }).stdout.split('\n').map((line) => line.trim()).filter((line) => line !== '')
}

test('a terminated warm-up leaves no daemon running', async () => {
  // Guards against an orphaned daemon: after a build timed out, the daemon that it had started kept running and had used 24 minutes of
  // processor time when it was found.
  const warming = spawn(process.execPath, ['--import', 'tsx', 'platform/standins/warm_up.ts'], { stdio: 'ignore' })
  let daemons: string[] = []
  while (daemons.length === 0 && warming.exitCode === null) {
    await delay(50)
    daemons = childPids(warming.pid!).filter((pid) => spawnSync('ps', ['-o', 'args=', '-p', pid], { encoding: 'utf8' }).stdout.includes('compile-ahead'))
  }
  warming.kill('SIGTERM')
  await once(warming, 'exit')
  await delay(200)
  expect(daemons).toHaveLength(1)
  expect(spawnSync('ps', ['-o', 'stat=', '-p', daemons[0]!], { encoding: 'utf8' }).stdout.trim()).toMatch(/^(Z.*)?$/)
})
