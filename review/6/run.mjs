/** Servers of a plain service run requests and then fail part of them with 503, without saying that they have not run. */
import { fileURLToPath } from 'node:url'
import { delay } from '../standins-2/platform.mjs'
import { runScript, TROUBLE } from '../standins-2/script.mjs'
import { call, configOf, Server } from '../standins-2/servers.mjs'

const SERVERS = 4
const GREY_MS = 4000
const REQUEST_INTERVAL_MS = 40
/** Time before and after the failures, in milliseconds. */
const SOUND_MS = 2000
/** A client retries once, on a new connection, and only after a promise that its request has not run. */
const PROMISES = [408, 421, 429, 503]

const route = { name: 'fee-post', path_prefix: '/fee/', route_type: 'unsafe', service: 'renewal-app', max_attempts: 1, timeout_ms: 1000, target_latency_ms: 121 }

await runScript({
  record: fileURLToPath(new URL('record.txt', import.meta.url)),
  deployment: { daemons: 2, config: configOf({ routes: [route] }) }
}, async (platform, record) => {
  const runs = new Map()
  const servers = []
  for (let i = 0; i < SERVERS; i++) {
    const onTold = ({ server, event, request }) => {
      record.line(`server ${server}: ${event} ${request}`)
      if (event === 'runs') runs.set(request, [...runs.get(request) ?? [], server])
    }
    servers.push(await platform.add(new Server({ name: `i-${i}`, service: 'renewal-app', manner: 'call', zone: 'abc'[i % 3], store: platform.store, onTold })))
  }
  await platform.ready()
  const clients = []
  const timer = setInterval(() => { clients.push(pay(platform, { payment: clients.length, record })) }, REQUEST_INTERVAL_MS)
  await delay(SOUND_MS)
  if (TROUBLE) for (const server of servers) server.setGrey(true)
  record.line(TROUBLE ? 'all servers fail 0.45 of their requests' : 'no server fails')
  await delay(GREY_MS)
  for (const server of servers) server.setGrey(false)
  await delay(SOUND_MS)
  clearInterval(timer)
  const payments = await Promise.all(clients)
  await delay(1000)
  const doubled = payments.filter((tries) => tries.filter(({ id }) => runs.has(id)).length > 1)
  record.line(`${payments.length} payments, ${doubled.length} posted twice by clients that believed the promise`)
  return payments.flat().filter(({ id, status }) => PROMISES.includes(status) && runs.has(id)).map((answer) => `REFUSED: ${describe(answer)}, and ran at ${runs.get(answer.id).join(' and ')}`)
})

/** Posts one payment, as a client does that may try twice. Each try has an id of its own. */
async function pay (platform, { payment, record }) {
  const tries = []
  do {
    const { name, callers } = platform.daemons[(payment + tries.length) % platform.daemons.length]
    const id = `p${payment}-${tries.length}`
    record.line(`client sends ${id} to ${name}: POST /fee/post`)
    const answer = await call(callers, { id, path: '/fee/post', method: 'POST', body: `payment ${payment}`, deadlineMs: 1000 })
    record.line(`client got ${describe(answer)}`)
    tries.push(answer)
  } while (tries.length < 2 && PROMISES.includes(tries.at(-1).status))
  return tries
}

function describe ({ id, status, stamp, tookMs, body }) {
  return `${id}: ${status ?? 'no answer'} after ${tookMs} ms, signed ${stamp}, body ${JSON.stringify(body)}`
}
