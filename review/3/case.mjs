/** Connections go silent, then a server is killed in the middle of answers that have no length; what clients get as whole answers must be whole. */
import { fileURLToPath } from 'node:url'
import { HOST, LIMITS, runCase, send, waitUntil, delay } from '../standins/deployment.mjs'

const SERVERS = 6
const CLIENTS = 24
const BODY_BYTES = 800
const KEY = '3d3zji9n73hh2b9wu3fe'
/** An answer is written in two halves, 800 ms apart; the server is killed between them. */
const HALF_MS = 800
const KILL_AFTER_MS = 300

const route = (name, type) => ({ name: `r-${name}`, hostname: HOST, path_prefix: `/${name}/`, route_type: type, timeout_ms: 3000, target_latency_ms: 800, priority: 2, service: 'results-desk', max_attempts: 1, anonymous: false })
const config = {
  version: 7,
  routes: [route('lookup', 'safe'), route('unframed', 'unsafe')],
  services: [{ name: 'results-desk', health_path: '/healthz', max_connections: 110 }],
  limits: LIMITS,
  tenants: [{ name: 'clinic', api_keys: [KEY], priority: 1, unit: 'tokens', plain_tokens: 200, rate_per_s: 393778, burst: 393778 }]
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (deployment, isTroubled) => {
  await deployment.start({ daemons: 1, config })
  for (let i = 1; i <= SERVERS; i++) await deployment.startServer('results-desk', `i-desk-${i}`, { bodyBytes: BODY_BYTES, chunkBytes: BODY_BYTES / 2, chunkMs: HALF_MS, unframed: true, linked: true })
  await deployment.ready()
  const [daemon] = deployment.daemons
  const ask = (kind, method) => Promise.all(Array.from({ length: CLIENTS }, async (_, i) => {
    const id = `${kind}-${String(i + 1).padStart(2, '0')}`
    deployment.note(`client sends ${id}`)
    return { id, ...await send(daemon.callers, { id, method, target: `/${kind}/${i}`, key: KEY, deadlineMs: 3000, ms: 3500 }) }
  }))
  // Leaves the daemon with kept connections to each server.
  if ((await ask('lookup', 'GET')).some(({ status }) => status !== 200)) throw new Error('the deployment does not serve its clients')
  deployment.note(`open connections by server: ${deployment.servers.map(({ link }) => link.open.length).join(', ')}`)

  if (isTroubled && process.env.ONLY !== 'kill') deployment.note(`connections that go silent, by server: ${deployment.servers.map(({ link }) => link.silenceHalf()).join(', ')}`)
  const before = deployment.runs.length
  const asked = ask('unframed', 'POST')
  await waitUntil(() => deployment.runs.length > before, 'no request began to run', 3000)
  await delay(KILL_AFTER_MS)
  // One of those to which the daemon has a connection that went silent.
  const candidates = deployment.servers.filter(({ link }) => !isTroubled || process.env.ONLY === 'kill' || link.silent.length > 0)
  const victim = candidates.reduce((a, b) => (b.running.size > a.running.size ? b : a))
  if (victim.running.size === 0) throw new Error('no server was at work when one was to be killed')
  if (isTroubled) {
    deployment.note(`server ${victim.id} is killed while it answers ${[...victim.running].join(', ')}; ${victim.link.silent.length} of the daemon's connections to it are silent`)
    victim.child.kill('SIGKILL')
  }
  const problems = []
  for (const { id, status, headers, body, rest, complete, ended } of await asked) {
    const server = headers['verbenatiller-server-stamp']?.split('.')[1]
    const line = `${id} at ${server}\n`
    const isWhole = body.equals(Buffer.from(line.repeat(Math.ceil(BODY_BYTES / line.length)).slice(0, BODY_BYTES)))
    deployment.note(`client got for ${id}: ${status ?? 'nothing'}, server ${server}, ${body.length} bytes ${complete ? 'as a whole answer' : 'of an answer that broke off'}, ${rest.length} bytes after it, connection ${ended}`)
    if (status >= 200 && status < 300 && complete && !isWhole) problems.push(`MIXED: ${id} got ${body.length} bytes as the whole ${status} of ${server}, whose answer has ${BODY_BYTES} bytes`)
  }
  return problems
})
