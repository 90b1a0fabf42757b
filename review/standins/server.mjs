/** Stand-in for a server of a plain service: sound, and alive until it is killed. Reports what it runs to its parent process. */
import { createServer } from 'node:http'

const { id, bodyBytes = 800, chunkBytes = bodyBytes, chunkMs = 0, workMs = 15 } = JSON.parse(process.argv[2])
const delay = (ms) => new Promise((resolve) => setTimeout(resolve, ms))

/** The body of a request at this server: lines that name both. */
function bodyOf (request) {
  const line = `${request} at ${id}\n`
  return Buffer.from(line.repeat(Math.ceil(bodyBytes / line.length)).slice(0, bodyBytes))
}

const server = createServer(async (req, res) => {
  const request = req.headers['verbenatiller-request-id']
  const own = { 'Verbenatiller-Request-Id': request ?? '', 'Verbenatiller-Instance-Id': id }
  req.resume()
  if (req.url === '/healthz') return res.writeHead(200, own).end()
  const expected = req.headers['verbenatiller-expect-instance']
  if (expected !== undefined && expected !== id) return res.writeHead(421, { ...own, 'Verbenatiller-Not-Executed': '1', 'Content-Length': 0 }).end()
  if (request === undefined) return res.writeHead(400, { ...own, 'Verbenatiller-Not-Executed': '1', 'Content-Length': 0 }).end()
  process.send({ type: 'runs', request, line: `${req.method} ${req.url}`, tenant: req.headers['verbenatiller-tenant'] })
  await delay(workMs)
  const body = bodyOf(request)
  res.writeHead(200, { ...own, 'Verbenatiller-Server-Stamp': `stamp.${id}.${request}`, 'Content-Length': body.length })
  for (let at = 0; at < body.length && !res.destroyed; at += chunkBytes) {
    res.write(body.subarray(at, at + chunkBytes))
    if (chunkMs > 0) await delay(chunkMs)
  }
  res.end()
  process.send({ type: 'answered', request })
})
server.keepAliveTimeout = 5000
server.listen(0, '127.0.0.1', () => process.send({ type: 'listening', port: server.address().port }))
process.on('disconnect', () => process.exit(0))
