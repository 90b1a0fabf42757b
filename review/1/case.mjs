/** Every key of a deployment's only tenant is taken away; requests with those keys, and with one that was never valid, must not run. */
import { fileURLToPath } from 'node:url'
import { delay, HOST, LIMITS, runCase, send, waitUntil } from '../standins/deployment.mjs'

const CONFIG_APPLY_MS = 2000
const GAP_MS = 1500
const KEYS = ['3d3zji9n73hh2b9wu3fe', 'xd9dnn2ctnfzs989anu6']
const NEVER_HELD = 'k0000000000000000000'
const REQUESTS = 10

const configOf = (version, keys) => ({
  version,
  routes: [{ name: 'r-confirm', hostname: HOST, path_prefix: '/confirm/', route_type: 'unsafe', timeout_ms: 1500, target_latency_ms: 121, priority: 2, service: 'results-desk', max_attempts: 1, anonymous: false }],
  services: [{ name: 'results-desk', health_path: '/healthz', max_connections: 110 }],
  limits: LIMITS,
  tenants: [{ name: 'clinic', api_keys: keys, priority: 1, unit: 'tokens', plain_tokens: 200, rate_per_s: 393778, burst: 393778 }]
})

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (deployment, isTroubled) => {
  await deployment.start({ daemons: 3, config: configOf(7, KEYS) })
  for (let i = 1; i <= 3; i++) await deployment.startServer('results-desk', `i-desk-${i}`, { bodyBytes: 800 })
  await deployment.ready()
  let sent = 0
  const sendAll = (name, key) => Promise.all(Array.from({ length: REQUESTS }, async (_, i) => {
    const id = `${name}-${String(++sent).padStart(3, '0')}`
    const daemon = deployment.daemons[i % deployment.daemons.length]
    const { status } = await send(daemon.callers, { id, method: 'POST', target: `/confirm/${i}`, key, deadlineMs: 1500, ms: 2000 })
    deployment.note(`client sent ${id} to ${daemon.name} with key ${key}: ${status ?? 'no answer'}`)
    return { id, status }
  }))
  const before = await sendAll('before-held', KEYS[0])
  const strangers = await sendAll('before-stranger', NEVER_HELD)
  if (before.some(({ status }) => status !== 200) || strangers.some(({ status }) => status !== 401)) throw new Error('the deployment does not serve its clients')

  // The operator takes the two keys away, one after the other.
  for (const [version, keys] of isTroubled ? [[9, KEYS.slice(1)], [12, []]] : []) {
    deployment.store.put('config', 'main', configOf(version, keys))
    deployment.note(`the store acknowledged version ${version} with ${keys.length} keys`)
    await delay(GAP_MS)
  }
  // Past the bound of the last version, and the whole of contact_ms after it.
  await delay(CONFIG_APPLY_MS + 3000)
  const dropped = await sendAll('after-dropped', KEYS[0])
  const unknown = await sendAll('after-stranger', NEVER_HELD)
  await waitUntil(() => deployment.runs.length >= [...before, ...dropped, ...unknown].filter(({ status }) => status === 200).length, 'the servers did not report their runs')
  const ranOf = (answers) => answers.filter(({ id }) => deployment.runs.some(({ request }) => request === id))
  const problems = []
  if (ranOf(unknown).length > 0) problems.push(`ROUTE: ${ranOf(unknown).length} of ${REQUESTS} requests ran whose key no configuration ever held`)
  if (isTroubled && ranOf(dropped).length > 0) problems.push(`CONFIG: ${ranOf(dropped).length} of ${REQUESTS} requests ran with a key that was dropped more than config_apply_ms before`)
  return problems
})
