// Callers wait for a daemon that restarts: it compiles anew whatever its first requests need, and on a host with an eighth of a core the first answer
// after the loss of all hosts comes 2.6 s after power is back. The code that a daemon ran while the build let it serve is compiled already, if it is accepted.
import { spawnSync } from 'node:child_process'
import { statSync } from 'node:fs'
import { expect, test } from 'vitest'

/** A cache of what loading alone compiles has 1.1 MB, one of a daemon that served 1.7 MB. */
const SERVED_BYTES = 1_400_000

test('a build lets its daemon serve, and keeps compiled code that the next start accepts', () => {
  const built = spawnSync(process.execPath, ['scripts/bundle.mjs'], { encoding: 'utf8' })
  expect([built.status, built.stderr]).toEqual([0, ''])
  expect(statSync('target/bundle.cache').size).toBeGreaterThan(SERVED_BYTES)
  const run = spawnSync(process.execPath, ['target/verbenatiller.cjs', '--help'], { encoding: 'utf8' })
  expect(run.stdout).toContain('serve')
  expect([run.status, run.stderr]).toEqual([0, ''])
})
