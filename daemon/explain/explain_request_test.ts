import { readFileSync } from 'node:fs'
import { expect, test } from 'vitest'
import { BACK_OFF_REASON, CUT_OFF_REASON, VERSION_GONE_REASON } from '../request/dispatcher.ts'
import { explainRequest, readLog } from './index.ts'

/** Recorded log lines of daemons during failures; the causes were checked against what endpoints and callers observed. */
const RECORDED = readFileSync(new URL('testdata/failing_days.jsonl', import.meta.url), 'utf8')
const lines = readLog(RECORDED)
const causeOf = (request: string) => explainRequest(lines, request).cause

test.each([
  ['the account asked for more than its quota', '6abee8a3675869dc', 'over quota: account lera921 had used up what it may'],
  ['the quota keeper was being replaced', 'f10d15ea44aa1ab2', 'over quota: account lera921 had no room while the daemon that counts quotas changed'],
  ['the daemon was killed before it forwarded the answer', 'cbd3c1eed65e5723', 'daemon killed: edge-yaba-3 ended in the middle of it, and started again 4417 ms later'],
  ['both endpoints that it may be sent to answered with an error', '3dd993a8bbf6dd77', 'endpoint: i-f01f256a90 answered 500; it may not be repeated'],
  ['an endpoint crashed in a call that may not be retried', 'cc846a31cb505eda', 'crash: i-61a2ed1443 broke off after 0 pieces; it may not be repeated'],
  ['an endpoint was too slow for the deadline', 'd2c3cfb34dff902f', 'caller left after 2999 ms of 3000: i-e5469dc1df was still writing after 2998 ms (12 pieces, longest pause 292 ms)'],
  ['its credential was added by a revision that the daemon received later', '31ea9625f46f67d4', 'configuration: revision 7 (confirmed 3722 ms before) does not have its credential; revision 11 came 75 ms later'],
  ['its route was added by a revision that the daemon received later', '53fdfc359cd380f7', 'configuration: revision 4 (confirmed 3014 ms before) does not have a route for it; revision 7 came 357 ms later'],
  ['its endpoint was reclaimed, and the stream continued on another one', 'd7ffbc5fd0198a47', 'answered after a repeat: reclaim: i-7ab06e5fd4 left after 1 pieces'],
  ['a second endpoint was reclaimed, after the last attempt that its route allows', 'aef027ea6e6963c8', 'reclaim: i-eb79e94eee left after 79 pieces; it may not be repeated'],
  ['no daemon has logged it', 'ffffffffffffffff', 'no line names it: it reached none of these daemons, or not its whole head did']
])('%s', (_what, request, cause) => {
  expect(causeOf(request)).toBe(cause)
})

test('a refusal over quota states the cost of the request and the remaining quota', () => {
  const line = { level: 'warn', time: '2026-05-23T10:00:00.000Z', daemon: 'edge-1', process: 'p', event: 'request-refused', request: 'large', revision: 7, status: 429, why: 'over quota', account: 'council', class: 'review', cost: 12_000, room: 4100.6 }
  expect(explainRequest(readLog(JSON.stringify(line)), 'large').cause).toBe('over quota: account council had used up what it may (4101 left, it costs 12000)')
})

test('a refusal by an older configuration names a return of the store before it', () => {
  const line = (second: number, event: string, fields: object) => JSON.stringify({ level: 'info', time: `2026-05-23T10:00:0${second}.000Z`, daemon: 'edge-1', process: 'p', event, ...fields })
  const returned = line(1, 'store-returned', { era: 2, before: 1, from: 'store' })
  const refused = line(6, 'request-refused', { request: 'r', revision: 85, revisionAgeMs: 400, status: 404, why: 'no route' })
  const { cause, steps } = explainRequest(readLog([returned, refused].join('\n')), 'r')
  expect(cause).toBe('configuration: revision 85 (confirmed 400 ms before) does not have a route for it; the store had returned to an older copy (era 2) 5000 ms before')
  expect(steps[0]).toMatchObject({ afterMs: -5000, text: '(store-returned: era 2, before 1, from store)' })
})

test('the steps are in order, with the configuration in force and its age', () => {
  const { steps } = explainRequest(lines, '31ea9625f46f67d4')
  expect(steps.find(({ afterMs }) => afterMs === 0)!.text).toMatch(/^refused with 401: .* \(configuration 7, confirmed 3722 ms before\)$/)
  const repeated = explainRequest(lines, 'd7ffbc5fd0198a47').steps.map(({ text }) => text.replace(/ .*/, ''))
  expect(repeated.filter((word) => word === 'attempt').length).toBeGreaterThanOrEqual(3)
  expect([...steps].sort((a, b) => a.afterMs - b.afterMs)).toEqual(steps)
})

test('prefixes added by log collectors, truncated lines and other text are ignored', () => {
  const mixed = RECORDED.trim().split('\n').map((line) => `2026-05-23 host-7 | ${line}`).join('\n')
  const cut = RECORDED.slice(0, RECORDED.indexOf('\n') - 20)
  expect(readLog(`${mixed}\nnot a line\n${cut}`)).toEqual(lines)
})

test('a request that another daemon ran is explained with that daemon and the reason', () => {
  const line = (daemon: string, event: string, fields: object) => JSON.stringify({ level: 'info', time: '2026-05-23T10:00:00.000Z', daemon, process: daemon, event, request: 'r', ...fields })
  const taken = line('edge-1', 'attempt-delegated', { attempt: 1, to: 'edge-2', pool: 'desk', fromPiece: 0, inFlight: 0, offerAgeMs: 10, activityAgeMs: 20 })
  const ran = line('edge-2', 'request-taken-for', { origin: 'edge-1', pool: 'desk', class: 'c', deadlineInMs: 900, fromPiece: 0, maxAttempts: 2 })
  const ended = (fields: object) => line('edge-1', 'request-ended', { outcome: 'answered', why: 'whole', afterMs: 1, pieces: 1, attempts: 1, deadlineMs: 900, ...fields })
  const { cause, steps } = explainRequest(readLog([taken, ran, ended({})].join('\n')), 'r')
  expect(cause).toBe('answered by way of edge-2, since no endpoint of desk could be reached from its own daemon')
  expect(steps.map(({ text }) => text.replace(/[:;].*/, ''))).toEqual(['attempt 1 by edge-2, since no endpoint of desk can be reached from here', 'taken for edge-1, which cannot reach desk', 'answered'])
  const lost = line('edge-1', 'delegate-failed', { attempt: 1, to: 'edge-2', point: 'delegate-lost', why: 'connection lost', afterMs: 1, pieces: 0, repeat: 'not-allowed' })
  expect(explainRequest(readLog([taken, lost, ended({ outcome: 'unknown', why: 'endpoint failed: delegate-lost' })].join('\n')), 'r').cause).toBe('cut off: edge-2, which ran it instead, was lost after 0 pieces (connection lost)')
  expect(explainRequest(readLog(ended({ outcome: 'not-run', why: CUT_OFF_REASON })), 'r').cause).toMatch(/^cut off: no endpoint of its pool/)
})

test('a stream that was refused when its caller resumed it is explained with the version at which it began, or why that is not known', () => {
  const line = (event: string, fields: object) => JSON.stringify({ level: 'info', time: '2026-05-23T10:00:00.000Z', daemon: 'edge-1', process: 'p', event, request: 'r', ...fields })
  const found = (fields: object) => line('stream-version', { stream: 'first', result: 'unknown', answered: 6, waitedMs: 8, ...fields })
  const refused = line('request-refused', { revision: 7, status: 503, why: 'it is not known' })
  const ended = line('request-ended', { outcome: 'not-run', why: VERSION_GONE_REASON, afterMs: 1, pieces: 0, attempts: 0, deadlineMs: 900 })
  const causes = [
    [found({}), refused],
    [found({ result: 'unreachable', answered: 0, waitedMs: 900 }), refused],
    [found({ result: 'recorded', pool: 'llm', version: 'v1', daemon: 'edge-2' }), refused],
    [found({ result: 'recorded', pool: 'llm', version: 'v1', daemon: 'edge-2' }), ended]
  ].map((texts) => explainRequest(readLog(texts.join('\n')), 'r').cause)
  expect(causes).toEqual([
    'version: none of 6 daemons knew at which version first began, and its pool has had several or may have',
    'version: no other daemon answered within 900 ms at which version first began',
    'version: first began at llm, which does not serve its route any more',
    'version: the stream began at v1, of which no endpoint was left'
  ])
})

test('lines of several daemons are sorted by time', () => {
  const turned = RECORDED.trim().split('\n').reverse().join('\n')
  expect(readLog(turned).map(({ atMs }) => atMs)).toEqual(lines.map(({ atMs }) => atMs))
})

test('an attempt at an endpoint whose vanished entry was kept shows the reason and for how long', () => {
  const started = lines.find((line) => line.event === 'attempt-started' && line.request === 'd7ffbc5fd0198a47')!
  const { endpoint } = started.fields as { endpoint: string }
  const at = (beforeMs: number, event: string, fields: object) => JSON.stringify({ level: 'info', time: new Date(started.atMs - beforeMs).toISOString(), daemon: started.daemon, process: started.process, event, ...fields })
  const doubted = readLog(`${at(1900, 'endpoints-held', { endpoints: [endpoint], why: 'most entries vanished', forMs: 1800 })}\n${RECORDED}`)
  expect(explainRequest(doubted, 'd7ffbc5fd0198a47').steps[0]!.text).toContain('why most entries vanished, forMs 1800')
})

test('a quarantined request is explained with its fingerprint, by which the crashes are found', () => {
  const line = (event: string, fields: object) => JSON.stringify({ level: 'warn', time: '2026-05-23T10:00:00.000Z', daemon: 'edge-1', process: 'p', event, request: 'again', ...fields })
  const { cause, steps } = explainRequest(readLog(`${line('request-held', { fingerprint: '00ff', forMs: 3000 })}\n${line('request-ended', { outcome: 'not-run', why: 'quarantined' })}`), 'again')
  expect(cause).toBe('caller: endpoints that ran requests like it crashed; request-quarantined of 00ff names them')
  expect(steps[0]!.text).toContain('held for 3000 ms')
})

test('a request with a quarantined prompt part is explained with the part, by which the crashes are found', () => {
  const line = (event: string, fields: object) => JSON.stringify({ level: 'warn', time: '2026-05-23T10:00:00.000Z', daemon: 'edge-1', process: 'p', event, request: 'another', ...fields })
  const { cause, steps } = explainRequest(readLog(`${line('request-held', { fingerprint: '00ff', part: 'part-5c1e07a2@llm', forMs: 3000 })}\n${line('request-ended', { outcome: 'not-run', why: 'quarantined' })}`), 'another')
  expect(cause).toBe('caller: endpoints crashed that ran requests with part-5c1e07a2@llm in their prompts; part-quarantined of it names them')
  expect(steps[0]!.text).toContain('part-5c1e07a2@llm')
})

test('a request that is refused since all endpoints asked for time is explained with their names', () => {
  const line = (at: number, event: string, fields: object) => JSON.stringify({ level: 'info', time: new Date(Date.UTC(2026, 4, 23) + at).toISOString(), daemon: 'edge-1', process: 'p', event, ...fields })
  const text = [
    line(0, 'endpoint-backs-off', { endpoint: 'i-over', pool: 'llm', forMs: 1000 }),
    line(1000, 'endpoint-backs-off', { endpoint: 'i-1', pool: 'llm', forMs: 5000 }),
    line(1500, 'endpoint-backs-off', { endpoint: 'i-other-pool', pool: 'desk', forMs: 5000 }),
    line(3000, 'request-taken', { request: 'r', pool: 'llm', account: 'a', class: 'c', deadlineInMs: 1, promptTokens: 0, maxTokens: 0, revision: 1 }),
    line(3001, 'request-ended', { request: 'r', outcome: 'not-run', why: BACK_OFF_REASON, retryAfterMs: 2999 })
  ].join('\n')
  const { cause, steps } = explainRequest(readLog(text), 'r')
  expect(cause).toBe('endpoints asked for time: i-1')
  expect(steps.map(({ text }) => text).join()).toContain('to come back in 2999 ms')
})

test.each([
  ['request-refused', { revision: 1, status: 503, why: 'Cannot take request: no room for a body of 4194304 bytes', bodyBytes: 4194304 }, 'memory: Cannot take request: no room for a body of 4194304 bytes'],
  ['answer-evicted', { bytes: 40_000, unreadMs: 1010, heldBytes: 80_000 }, 'caller: it took nothing for 1010 ms, and its answer was broken off since memory was short']
])('%s %j is explained by what was held', (event, fields, cause) => {
  const line = (name: string, more: object) => JSON.stringify({ level: 'info', time: '2026-05-23T10:00:00.000Z', daemon: 'edge-1', process: 'p', event: name, request: 'r', ...more })
  const ended = line('request-ended', { outcome: 'unknown', why: 'caller left', afterMs: 4000, pieces: 1, attempts: 1, deadlineMs: 9000 })
  expect(explainRequest(readLog([line(event, fields), ...(event === 'answer-evicted' ? [ended] : [])].join('\n')), 'r').cause).toBe(cause)
})

test.each(['answered', 'unknown'])('an answer that was replaced, of a request whose outcome is %s, is explained with its status', (outcome) => {
  const line = (name: string, more: object) => JSON.stringify({ level: 'info', time: '2026-05-23T10:00:00.000Z', daemon: 'edge-1', process: 'p', event: name, request: 'r', ...more })
  const text = [line('request-ended', { outcome, why: 'whole', status: 503, afterMs: 40, pieces: 1, attempts: 1, deadlineMs: 1000 }), line('answer-replaced', { status: 503, by: 502 })].join('\n')
  const { cause, steps } = explainRequest(readLog(text), 'r')
  expect(cause).toBe('endpoint: it answered 503 and did not say that it has not run the request, so that the caller got 502')
  expect(steps.at(-1)!.text).toContain('answered 502 by this daemon')
})
