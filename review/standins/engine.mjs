/**
 * Stand-in for a model server: sound, and slowed down by its parent process. While it has no event to send it keeps the stream alive with a comment, which
 * `text/event-stream` provides for that, and which is no event.
 */
import { createServer } from 'node:http'

const { id, events = 12, firstMs = 250, gapMs = 30, keepAliveMs = 600 } = JSON.parse(process.argv[2])
const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms))
let slowness = 1

const server = createServer(async (req, res) => {
  const request = req.headers['verbenatiller-request-id']
  const own = { 'Verbenatiller-Request-Id': request ?? '', 'Verbenatiller-Instance-Id': id }
  req.resume()
  if (req.url === '/healthz') return res.writeHead(200, own).end()
  if (req.url === '/report') return res.writeHead(200, { 'Content-Type': 'application/json' }).end(JSON.stringify({ stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }], busy: false, sequence: 1, queued: 0, active: 0, kv_used: 0, kv_total: 944985, handles: 0, runs: [] }))
  const expected = req.headers['verbenatiller-expect-instance']
  if (expected !== undefined && expected !== id) return res.writeHead(421, { ...own, 'Verbenatiller-Not-Executed': '1', 'Content-Length': 0 }).end()
  process.send({ type: 'runs', request, line: `${req.method} ${req.url}`, tenant: req.headers['verbenatiller-tenant'] })
  res.writeHead(200, { ...own, 'Verbenatiller-Server-Stamp': `stamp.${id}.${request}`, 'Content-Type': 'text/event-stream' })
  const factor = slowness
  const keepAlive = setInterval(() => res.write(': keep-alive\n\n'), keepAliveMs)
  for (let event = 1; event <= events && !res.destroyed; event++) {
    await delay(factor * (event === 1 ? firstMs : gapMs))
    res.write(`id: ${event}\ndata: ${request} ${event}\n\n`)
    keepAlive.refresh()
  }
  clearInterval(keepAlive)
  res.end()
  process.send({ type: 'answered', request })
})
server.keepAliveTimeout = 5000
server.listen(0, '127.0.0.1', () => process.send({ type: 'listening', port: server.address().port }))
process.on('message', ({ slow }) => { slowness = slow })
process.on('disconnect', () => process.exit(0))
