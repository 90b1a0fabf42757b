import { expect, test } from 'vitest'
import { as, type EndpointId, type Fingerprint, type PoolName, type Suspect } from '../ids/index.ts'
import { CrashRecords } from './crash_records.ts'
import { attributeToParts } from './part_attribution.ts'

const POOL = as<PoolName>('p')
const RUN_MS = 100
const SPACING_MS = 500
const LATE_MS = 60_000

interface CrashOptions { spacingMs?: number, runMs?: number, held?: string[], answered?: string, now?: number, poolSize?: number }

/** Attributes crashes to parts. Each crash has a list of requests, each of them the letters of its prompt's parts; `name:letters` names the request. */
function culprits (series: string[], { spacingMs = SPACING_MS, runMs = RUN_MS, held = [], answered = '', now = LATE_MS, poolSize = 10 }: CrashOptions = {}): string {
  const records = new CrashRecords()
  records.merge(series.map((aboard, nth) => ({
    endpoint: as<EndpointId>(`e${nth}`),
    atMs: nth * spacingMs,
    aboard: [],
    cleared: [],
    place: { pool: POOL, poolSize },
    runs: aboard.split(' ').filter((text) => text !== '').map((text, i) => {
      const [name, letters] = text.includes(':') ? text.split(':') as [string, string] : [`r${nth}-${i}`, text]
      return { request: as<Fingerprint>(name), sentAtMs: nth * spacingMs - runMs, parts: [...letters] }
    })
  })))
  const found = attributeToParts(records.crashes, { now, held: new Set(held.map((letter) => as<Suspect>(`part-${letter}@p`))), wasAnswered: (part) => answered.includes(part.slice('part-'.length)[0]!) })
  return [...found.keys()].map((part) => part.slice('part-'.length)[0]).sort().join('')
}

test.each<[string, string[], string, CrashOptions?]>([
  ['two crashes are too few', ['k', 'k'], ''],
  ['three crashes of three requests with the same part', ['k', 'k', 'k'], 'k'],
  ['a request that was repeated twice says nothing about its parts', ['one:k', 'one:k', 'one:k'], ''],
  ['requests that were under way at the same time count once', ['k', 'k', 'k'], '', { spacingMs: 10 }],
  ['long requests that met crashes of which most had another cause', ['k', 'x', 'y', 'k', 'z', 'w', 'k'], '', { runMs: 450, poolSize: 3 }],
  ['a rare part among many requests that share another one', ['ka a a', 'ka a a', 'ka a a'], 'k'],
  ['two parts that always come together, one of which was answered before', ['ka', 'ka', 'ka'], 'k', { answered: 'a' }],
  ['two parts that always come together are not told apart by three crashes', ['ka', 'kb', 'kab', 'ka'].map((each) => `${each}z`), ''],
  ['two parts that always come together, after five crashes and time for answers', ['kz', 'kz', 'kz', 'kz', 'kz'], 'k'],
  ['two parts that always come together, after five crashes and without that time', ['kz', 'kz', 'kz', 'kz', 'kz'], '', { now: 4 * SPACING_MS + 900 }],
  ['a part that was answered before takes five crashes', ['k', 'k', 'k', 'k'], '', { answered: 'k' }],
  ['a part that was answered before, after five crashes', ['k', 'k', 'k', 'k', 'k'], 'k', { answered: 'k' }],
  ['two parts by turns, and a third that all requests share', ['ka a a', 'qa a a', 'ka a', 'qa a a', 'ka a a', 'qa a'], 'kq'],
  ['a part that met crashes of another one', ['kd', 'k', 'kd', 'k', 'kd', 'k'], 'k'],
  ['a held part stays held while it explains its crashes', ['kd', 'kd', 'kd'], 'd', { held: ['d'] }],
  ['a part held in error is let go once another one explains its crashes', ['kd', 'kd', 'kd', 'k'], 'k', { held: ['d'] }]
])('%s', (_, series, expected, options) => {
  expect(culprits(series, options)).toBe(expected)
})
