import { readFileSync } from 'node:fs'
import { expect, test } from 'vitest'
import { settingsSchema } from '../../daemon/settings.ts'
import { configSchema, diff, InvalidError, newerRevision, nextRevision, parseJsonc, type Config } from './index.ts'

const EXAMPLES = ['adunni_levy', 'kingston_parish']
const example = (name: string, kind: string) => readFileSync(new URL(`../../examples/${name}.${kind}.jsonc`, import.meta.url), 'utf8')
const config = (): Config => parseJsonc(configSchema, example('adunni_levy', 'config'))

test.each(EXAMPLES)('the examples of %s are valid', (name) => {
  expect(parseJsonc(configSchema, example(name, 'config')).classes).toHaveLength(3)
  expect(parseJsonc(settingsSchema, example(name, 'settings')).drainMs).toBe(25_000)
})

test('every invalid field is reported with its path, the expected and the found value', () => {
  const cfg = config()
  const wrong = JSON.stringify({ ...cfg, deployment: 'Has Spaces', classes: [{ ...cfg.classes[0], delivery: 2 }, ...cfg.classes.slice(1)], weights: {} })
  const problems = problemsOf(() => parseJsonc(configSchema, wrong))
  expect(problems).toEqual([
    expect.stringMatching(/^deployment: .*lower-case.*found "Has Spaces"$/),
    expect.stringMatching(/^classes\.0\.delivery: .*<=1, found 2$/),
    'weights: expected no such field'
  ])
})

test('references between parts are checked', () => {
  const cfg = config()
  const wrong = { ...cfg, accounts: [{ ...cfg.accounts[0]!, classes: ['no-such-class'] }, cfg.accounts[0]!] }
  expect(problemsOf(() => parseJsonc(configSchema, JSON.stringify(wrong)))).toEqual([
    'accounts.1.name: expected a unique name, found "ikeja-council" again',
    'accounts.0.classes.0: expected a class of this configuration, found "no-such-class"'
  ])
})

test('text that does not parse is rejected with its line number', () => {
  expect(problemsOf(() => parseJsonc(configSchema, '{\n "deployment": \n}'))[0]).toMatch(/^line 3: /)
})

test('an older revision never replaces a newer one', () => {
  // Guards against a change that appears to revert: the watch event of revision 1 may arrive after a peer
  // has sent revision 2, so the last arrival is not always the newest.
  const first = nextRevision(undefined, config(), { id: 'a', operator: 'ada', atMs: 5 })
  const second = nextRevision(first, { ...config(), wantsLeast: 'recomputed-work' }, { id: 'b', operator: 'bo', atMs: 1 })
  expect(newerRevision(second, first)).toBe(second)
  expect(newerRevision(first, second)).toBe(second)
  expect(second.changes.at(-1)!.diff).toEqual([{ path: 'wantsLeast', from: 'cost', to: 'recomputed-work' }])
})

test('the audit trail shows that a credential changed without revealing its hash', () => {
  const first = nextRevision(undefined, config(), { id: 'a', operator: 'ada', atMs: 1 })
  const [account, ...others] = config().accounts
  const second = nextRevision(first, { ...config(), accounts: [{ ...account!, credentialSha256: 'f'.repeat(64) }, ...others] }, { id: 'b', operator: 'ada', atMs: 2 })
  expect(second.changes.at(-1)!.diff).toEqual([{ path: 'accounts.ikeja-council.credential', from: `sha256 ${account!.credentialSha256.slice(0, 8)}`, to: 'sha256 ffffffff' }])
})

test('a diff contains added, changed and removed fields', () => {
  expect(diff({ a: 1, b: { c: 2 } }, { b: { c: 3 }, d: 4 })).toEqual([
    { path: 'a', from: 1, to: undefined },
    { path: 'b.c', from: 2, to: 3 },
    { path: 'd', from: undefined, to: 4 }
  ])
})

function problemsOf (act: () => unknown): readonly string[] {
  try {
    act()
  } catch (err) {
    if (err instanceof InvalidError) return err.problems
    throw err
  }
  throw new Error('expected an InvalidError')
}
