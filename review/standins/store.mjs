/** Stand-in for the platform's metadata store and for its API for duties, without faults of its own. */
import { createServer } from 'node:http'

const HISTORY_LENGTH = 10_000

/**
 * Starts the store on a free port.
 * @param options.losesAnswer Returns true for a write that is done and not answered; nothing more comes on its connection.
 * @param options.onDuty Called with each call to the platform's API for duties.
 */
export async function startStore ({ losesAnswer = () => false, onDuty = () => {} } = {}) {
  const kinds = new Map()
  const history = []
  const watchers = new Set()
  let revision = 1

  const ofKind = (kind) => {
    if (!kinds.has(kind)) kinds.set(kind, new Map())
    return kinds.get(kind)
  }
  const changed = (kind, object, deleted) => {
    history.push({ kind, revision, object, deleted })
    if (history.length > HISTORY_LENGTH) history.shift()
    for (const wake of [...watchers]) wake()
  }
  const write = (kind, name, { spec, status, finalizers }) => {
    const known = ofKind(kind).get(name)
    const next = { spec, status: status ?? known?.status ?? null }
    if (known && JSON.stringify([known.spec, known.status]) === JSON.stringify([next.spec, next.status])) return known
    revision++
    const object = { metadata: { name, revision, created: known?.metadata.created ?? revision, finalizers: finalizers ?? [], deleting: false }, ...next }
    ofKind(kind).set(name, object)
    changed(kind, object, false)
    return object
  }
  const remove = (kind, name) => {
    const object = ofKind(kind).get(name)
    if (!object) return undefined
    ofKind(kind).delete(name)
    revision++
    changed(kind, object, true)
    return object
  }
  const silenced = new WeakSet()
  const answer = (res, status, body) => { if (!silenced.has(res.socket)) res.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body)) }

  const list = (res, kind, after) => {
    const names = [...ofKind(kind).keys()].filter((name) => name > after).sort()
    answer(res, 200, { entries: names.slice(0, 500).map((name) => ofKind(kind).get(name)), has_more: names.length > 500, store_revision: revision })
  }
  const watch = (res, kind, { after, waitMs }) => {
    const events = () => history.filter((each) => each.kind === kind && each.revision > after)
    const finish = () => {
      clearTimeout(timer)
      watchers.delete(wake)
      answer(res, 200, { events: events().map(({ deleted, object }) => ({ deleted, object })), store_revision: revision })
    }
    const wake = () => { if (events().length > 0) finish() }
    const timer = setTimeout(finish, events().length > 0 ? 0 : Math.min(waitMs, 30_000))
    watchers.add(wake)
    res.on('close', () => {
      clearTimeout(timer)
      watchers.delete(wake)
    })
  }
  const update = (res, method, { kind, name, part, body, query }) => {
    if (method === 'POST') {
      const known = ofKind(kind).get(body.metadata.name)
      return known ? answer(res, 409, known) : answer(res, 200, write(kind, body.metadata.name, { ...body, finalizers: body.metadata.finalizers }))
    }
    const known = ofKind(kind).get(name)
    if (!known) return answer(res, 404, {})
    const wanted = body.metadata?.revision ?? (query.has('revision') ? Number(query.get('revision')) : undefined)
    if (wanted !== undefined && wanted !== known.metadata.revision) return answer(res, 409, known)
    if (method === 'DELETE') return answer(res, 200, remove(kind, name))
    answer(res, 200, write(kind, name, part === 'status' ? { spec: known.spec, status: body.status } : { spec: body.spec, finalizers: body.metadata?.finalizers }))
  }

  const server = createServer(async (req, res) => {
    let text = ''
    for await (const chunk of req) text += chunk
    const body = text === '' ? {} : JSON.parse(text)
    const url = new URL(req.url, 'http://store')
    const [, root, kind, name, part] = url.pathname.split('/').map(decodeURIComponent)
    const query = url.searchParams
    if (root !== 'objects') {
      onDuty({ duty: root, holder: req.headers['verbenatiller-duty-holder'], token: Number(req.headers['verbenatiller-fencing-token']), body })
      return answer(res, 200, {})
    }
    if (req.method !== 'GET' && losesAnswer({ kind, name: name ?? body.metadata?.name, spec: body.spec })) silenced.add(res.socket)
    if (req.method !== 'GET') return update(res, req.method, { kind, name, part, body, query })
    if (query.has('watch')) return watch(res, kind, { after: Number(query.get('watch')), waitMs: Number(query.get('wait_ms')) })
    if (name === undefined) return list(res, kind, query.get('after') ?? '')
    const object = ofKind(kind).get(name)
    return object ? answer(res, 200, object) : answer(res, 404, {})
  })
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${server.address().port}`,
    put: (kind, name, spec) => { write(kind, name, { spec }) },
    remove,
    close: () => {
      server.closeAllConnections()
      server.close()
    }
  }
}
