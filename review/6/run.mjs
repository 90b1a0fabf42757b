/** Servers number the events of their answers from 0, or by tokens: model servers in streams, and a plain service in a feed. */
import { fileURLToPath } from 'node:url'
import { EVENTS } from '../standins-2/answers.mjs'
import { runScript, TROUBLE } from '../standins-2/script.mjs'
import { call, configOf, Server } from '../standins-2/servers.mjs'

const SERVERS = 3
const PATHS = ['/query', '/tagging', '/fee']

const model = { route_type: 'streaming', service: 'model-pool', target_latency_ms: 400, gap_target_ms: 300 }
const routes = [
  { ...model, name: 'owner-query', path_prefix: '/query/', max_attempts: 2, stream_resume: true },
  { ...model, name: 'doc-tagging', path_prefix: '/tagging/', max_attempts: 1, stream_resume: false },
  { name: 'fee-post', path_prefix: '/fee/', route_type: 'unsafe', service: 'renewal-app', max_attempts: 1 }
]

await runScript({
  record: fileURLToPath(new URL('record.txt', import.meta.url)),
  deployment: { daemons: 2, config: configOf({ routes }) }
}, async (platform, record) => {
  for (let i = 0; i < SERVERS; i++) {
    const onTold = ({ server, event, request, lastEventId }) => record.line(`server ${server}: ${event} ${request}${lastEventId === undefined ? '' : ` (Last-Event-Id: ${lastEventId})`}`)
    await platform.add(new Server({ name: `m-${i}`, service: 'model-pool', manner: 'numbered', zone: 'abc'[i % 3], slots: 48, store: platform.store, onTold }))
    await platform.add(new Server({ name: `r-${i}`, service: 'renewal-app', manner: 'numbered', zone: 'abc'[i % 3], store: platform.store, onTold }))
  }
  await platform.ready()
  const breaks = []
  for (const numbering of TROUBLE ? ['from-1', 'from-0', 'by-tokens'] : ['from-1']) {
    const calls = platform.daemons.flatMap(({ name, callers }) => PATHS.map((prefix) => {
      const path = `${prefix}/${numbering}`
      const id = `${name}${path.replaceAll('/', '-')}`
      record.line(`client sends ${id} to ${name}: POST ${path}`)
      return call(callers, { id, path, method: 'POST', body: 'question' })
    }))
    for (const answer of await Promise.all(calls)) {
      record.line(`client got ${describe(answer)}`)
      if (isBroken(answer)) breaks.push(`${answer.id.includes('-fee-') ? 'MIXED' : 'ORDER'}: ${describe(answer)}`)
    }
  }
  return breaks
})

/** An answer that is complete has each piece that its server has written. */
function isBroken ({ status, whole, body }) {
  if (status !== 200 || !whole) return false
  return [...body.matchAll(/^data: piece (\d+)$/mg)].map(([, piece]) => Number(piece)).join() !== Array.from({ length: EVENTS }, (_, i) => i + 1).join()
}

function describe ({ id, status, stamp, whole, why, tookMs, body }) {
  return `${id}: ${status ?? 'no answer'} after ${tookMs} ms, ${whole ? 'whole' : `not whole (${why})`}, signed ${stamp}, body ${JSON.stringify(body)}`
}
