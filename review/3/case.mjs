/** The daemon that reports usage is stopped while answers of the store are lost; after its successor has acted, it must not act any more. */
import { fileURLToPath } from 'node:url'
import { HOST, LIMITS, runCase, waitUntil, delay } from '../standins/deployment.mjs'

const DAEMONS = 5
const LEASE_MS = 3000
const ROUNDS = 5
/** Time from the loss of an answer to the SIGTERM. */
const TERM_AFTER_MS = 250
/** Length of a disruption of the store, as on the sheet. */
const LOSS_MS = 4500

const config = {
  version: 7,
  routes: [{ name: 'r-fee', hostname: HOST, path_prefix: '/fee/', route_type: 'unsafe', timeout_ms: 1500, target_latency_ms: 121, priority: 2, service: 'renewal-app', max_attempts: 1, anonymous: false }],
  services: [{ name: 'renewal-app', health_path: '/healthz', max_connections: 110 }],
  limits: LIMITS,
  tenants: [{ name: 'clinic', api_keys: ['3d3zji9n73hh2b9wu3fe'], priority: 1, unit: 'tokens', plain_tokens: 200, rate_per_s: 393778, burst: 393778 }]
}

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (deployment, isTroubled) => {
  const calls = []
  const problems = []
  let lossEndsAtMs = -Infinity
  let writes = 0
  const lost = { report: 0, release: 0 }
  const onDuty = ({ duty, holder, token, body }) => {
    const now = performance.now()
    deployment.note(`the platform gets ${duty} of window ${body.window_id} from ${holder} with fencing token ${token}`)
    const higher = calls.find((call) => call.token > token)
    if (higher) problems.push(`ONE: ${holder} calls with token ${token} after ${higher.holder} called with ${higher.token}`)
    const since = calls.filter(({ atMs }) => now - atMs < LEASE_MS)
    const own = since.findIndex((call) => call.holder === holder)
    if (own >= 0 && since.slice(own).some((call) => call.holder !== holder)) problems.push(`ONE: ${holder} acts, another holder acts, and ${holder} acts again within ${LEASE_MS} ms`)
    calls.push({ atMs: now, holder, token })
  }
  // During a disruption one write of the report and one release of the lease lose their answers.
  const losesAnswer = ({ kind, spec }) => {
    if (performance.now() > lossEndsAtMs) return false
    writes++
    const what = kind === 'usage' ? 'report' : kind === 'lease' && spec?.data?.ttlMs === 0 ? 'release' : undefined
    if (what === undefined || lost[what] > 0) return false
    lost[what]++
    deployment.note(`the store does a write of ${kind} and its answer is lost`)
    return true
  }
  await deployment.start({ daemons: DAEMONS, config, bounds: { fencing_required: false, reuse_window_s: 10 }, store: { losesAnswer, onDuty } })
  for (let i = 1; i <= 2; i++) await deployment.startServer('renewal-app', `i-app-${i}`, { bodyBytes: 800 })
  await deployment.ready()
  await waitUntil(() => calls.length > 0, 'no usage was reported', 30_000)

  for (let round = 1; round <= ROUNDS && problems.length === 0; round++) {
    const { holder } = calls.at(-1)
    const leader = deployment.daemons.find(({ name }) => name === holder)
    Object.assign(lost, { report: 0, release: 0 })
    writes = 0
    if (!isTroubled) {
      await delay(6000)
      continue
    }
    // Answers are lost from just before the next report on.
    const windowMs = 5000
    const dueInMs = windowMs - ((Date.now() - 2500) % windowMs)
    await delay(dueInMs < 300 ? dueInMs + windowMs - 200 : dueInMs - 200)
    lossEndsAtMs = performance.now() + LOSS_MS
    try {
      await waitUntil(() => lost.report > 0, 'no report was written', LOSS_MS)
    } catch {
      continue
    }
    await delay(TERM_AFTER_MS)
    deployment.note(`SIGTERM to ${leader.name}, which reported last`)
    leader.child.kill('SIGTERM')
    await waitUntil(() => leader.child.exitCode !== null || leader.child.signalCode !== null, `${leader.name} did not end`, 9000)
    deployment.note(`${lost.report + lost.release} of ${writes} writes lost their answers`)
    deployment.startDaemon(leader)
    await delay(3000)
  }
  return problems
})
