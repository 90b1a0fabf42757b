import { afterAll, beforeAll, expect, test } from 'vitest'
import { request } from 'undici'
import { adunniLevy } from '../../demo/deployments.ts'
import { demoCredential, startPlatform, type Platform } from '../../demo/platform.ts'
import { serviceAnswer, fullAnswer } from '../../standins/index.ts'

let platform: Platform

beforeAll(async () => { platform = await startPlatform(adunniLevy(), { seed: 9, daemons: 2 }) })
afterAll(async () => { await platform.stop() })

interface ApiResponse { status: number, headers: Record<string, unknown>, text: string, json: Record<string, unknown> }

async function send (path: string, options: { which?: number, method?: 'GET' | 'POST' | 'DELETE', account?: string, headers?: Record<string, string>, body?: unknown, raw?: string } = {}): Promise<ApiResponse> {
  const res = await request(platform.daemons[options.which ?? 0]!.addresses.callers + path, {
    method: options.method ?? 'POST',
    headers: { authorization: `Bearer ${demoCredential(options.account ?? 'ikeja-council')}`, ...options.headers },
    body: options.method === 'GET' || options.method === 'DELETE' ? null : options.raw ?? JSON.stringify(options.body ?? { input: 'x' })
  })
  const text = await res.body.text()
  const json = String(res.headers['content-type']).includes('json') ? JSON.parse(text) as Record<string, unknown> : {}
  return { status: res.statusCode, headers: res.headers, text, json }
}

const SSE = { accept: 'text/event-stream' }
const tokensOf = (text: string) => [...text.matchAll(/data: (\{"tokens":\[.*?\]\})/g)].flatMap((match) => (JSON.parse(match[1]!) as { tokens: string[] }).tokens)

test('a plain call is answered once', async () => {
  const sent = await send('/v1/classes/status-check/requests', { body: { input: 'claim 17' } })
  expect(sent).toMatchObject({ status: 200, json: { outcome: 'answered', answer: serviceAnswer('claim 17') } })
})

test('a streamed answer has event ids and an explicit end, and can be resumed from any id at another daemon', async () => {
  const sent = await send('/v1/classes/claim-review/requests', { headers: SSE, body: { input: 'review 1', maxTokens: 30 } })
  expect(tokensOf(sent.text)).toEqual(fullAnswer('review 1', 30))
  expect(sent.text).toMatch(/event: end\ndata: \{"outcome":"answered","tokens":30\}\n\n$/)
  const id = encodeURIComponent(String(sent.headers['request-id']))
  const resumed = await send(`/v1/requests/${id}/answer`, { which: 1, method: 'GET', headers: { ...SSE, 'last-event-id': '12' } })
  expect(tokensOf(resumed.text)).toEqual(fullAnswer('review 1', 30).slice(12))
  const otherAccount = await send(`/v1/requests/${id}/answer`, { which: 1, method: 'GET', account: 'lekki-council' })
  expect(otherAccount.text).not.toContain('"answer"')
})

test('a repeated idempotency key gets the same answer at any daemon, and is refused with another body', async () => {
  const letter = (which: number, input: string) => send('/v1/classes/letter-draft/requests', { which, headers: { 'idempotency-key': 'letter-7' }, body: { input, maxTokens: 10 } })
  const first = await letter(0, 'dear household')
  const again = await letter(1, 'dear household')
  expect(again.json).toMatchObject({ request: first.json.request, answer: first.json.answer })
  expect(await letter(1, 'dear other household')).toMatchObject({ status: 422, json: { outcome: 'not-run' } })
  expect(platform.ledger.executionCount('dear household')).toBe(1)
  const counts = (await platform.daemons[1]!.metrics.requests.get()).values.map(({ labels, value }) => ({ ...labels, value }))
  expect(counts).toContainEqual({ class: 'letter-draft', outcome: 'repeated', value: 2 })
})

const REFUSED: Array<[string, number, Parameters<typeof send>]> = [
  ['no credential', 401, ['/v1/classes/status-check/requests', { headers: { authorization: '' } }]],
  ['an unknown class', 404, ['/v1/classes/no-such/requests', {}]],
  ['a class of another account', 403, ['/v1/classes/claim-review/requests', { account: 'claimants' }]],
  ['a body that is not JSON', 400, ['/v1/classes/status-check/requests', { raw: '{' }]],
  ['an unknown field', 400, ['/v1/classes/status-check/requests', { body: { input: 'x', account: 'lekki-council' } }]],
  ['a body that is too large', 413, ['/v1/classes/status-check/requests', { body: { input: 'x'.repeat(1 << 20) } }]],
  ['too many tokens', 400, ['/v1/classes/claim-review/requests', { body: { input: 'x', maxTokens: 1e6 } }]],
  ['a key that is too long', 400, ['/v1/classes/letter-draft/requests', { headers: { 'idempotency-key': 'k'.repeat(300) } }]],
  ['an unknown resource', 404, ['/v2', {}]]
]

test.each(REFUSED)('%s is refused with %i, and nothing runs', async (_name, status, args) => {
  expect(await send(...args)).toMatchObject({ status, json: { outcome: 'not-run' }, headers: { 'content-type': 'application/problem+json' } })
})

test('an operator can read readiness, metrics, status and the audit trail; status and release require an operator credential', async () => {
  const url = platform.daemons[0]!.addresses.operators
  const get = async (path: string, credential = demoCredential('operator')) => {
    const res = await request(url + path, { headers: { authorization: `Bearer ${credential}` } })
    return { status: res.statusCode, text: await res.body.text() }
  }
  expect((await get('/readyz')).status).toBe(200)
  expect((await get('/metrics')).text).toContain('verbenatiller_requests_total')
  expect(JSON.parse((await get('/status')).text)).toMatchObject({ state: 'up', revision: 1, revisionSure: true })
  expect((await get('/status', demoCredential('ikeja-council'))).status).toBe(401)
  expect((await get('/audit')).text).toContain('bootstrap')
  const release = async (credential: string) => (await request(`${url}/quarantine/00ff/release`, { method: 'POST', headers: { authorization: `Bearer ${credential}` } })).statusCode
  expect([await release(demoCredential('operator')), await release(demoCredential('ikeja-council'))]).toEqual([404, 401])
})
