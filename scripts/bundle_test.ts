// Callers wait for a daemon that restarts: it compiles anew whatever its first requests need, and on a host with an eighth of a core the first answer
// after the loss of all hosts comes 2.6 s after power is back. The code that a daemon ran while the build let it serve is compiled already, if it is accepted.
import { spawn, spawnSync } from 'node:child_process'
import { once } from 'node:events'
import { mkdirSync, statSync, writeFileSync } from 'node:fs'
import { expect, test } from 'vitest'
import { delay } from '../core/time/index.ts'

/** A cache of what loading alone compiles has 1.1 MB, one of a daemon that served 1.7 MB. */
const SERVED_BYTES = 1_400_000

test('a build lets its daemon serve, and keeps compiled code that the next start accepts', () => {
  mkdirSync('target', { recursive: true })
  // What an earlier build of other code left there.
  writeFileSync('target/bundle.cache', 'compiled code of another build')
  const built = spawnSync(process.execPath, ['scripts/bundle.mjs'], { encoding: 'utf8' })
  expect([built.status, built.stderr]).toEqual([0, ''])
  expect(statSync('target/bundle.cache').size).toBeGreaterThan(SERVED_BYTES)
  const run = spawnSync(process.execPath, ['target/verbenatiller.cjs', '--help'], { encoding: 'utf8' })
  expect(run.stdout).toContain('serve')
  expect([run.status, run.stderr]).toEqual([0, ''])
})

function childrenOf (pid: number): string[] {
  return spawnSync('ps', ['-o', 'pid=', '--ppid', String(pid)], { encoding: 'utf8' }).stdout.split('\n').map((line) => line.trim()).filter((line) => line !== '')
}

test('a warm-up that is ended leaves no daemon behind', async () => {
  // A build ran out of time, and the daemon that it had started served on for the rest of the day: 24 minutes of a machine's processor when it was found.
  const warming = spawn(process.execPath, ['--import', 'tsx', 'platform/standins/warm_up.ts'], { stdio: 'ignore' })
  let daemons: string[] = []
  while (daemons.length === 0 && warming.exitCode === null) {
    await delay(50)
    daemons = childrenOf(warming.pid!).filter((pid) => spawnSync('ps', ['-o', 'args=', '-p', pid], { encoding: 'utf8' }).stdout.includes('compile-ahead'))
  }
  warming.kill('SIGTERM')
  await once(warming, 'exit')
  await delay(200)
  expect(daemons).toHaveLength(1)
  expect(spawnSync('ps', ['-o', 'stat=', '-p', daemons[0]!], { encoding: 'utf8' }).stdout.trim()).toMatch(/^(Z.*)?$/)
})
