/** The manners in which the stand-in servers answer. */

/** Number of events of each answer. */
export const EVENTS = 8
const EVENT_INTERVAL_MS = 100
const CALL_MS = 20
/** A grey server fails 9 of 20 requests (0.45). */
const GREY_CYCLE = 20
const GREY_FAILURES = 9
let greyCalls = 0

/** Ids of the events of a stream by the number of each: from 1, from 0, or by the tokens that were generated so far. */
const NUMBERINGS = { 'from-1': (i) => i, 'from-0': (i) => i - 1, 'by-tokens': (i) => 5 * i }

/** An event of the feed of a plain service: bears no id, and names the server that wrote it. */
export const feedEvent = (server, i) => `data: ${server} entry ${i}\n\n`

/** An event of a model server. Each server writes a text of its own, and so of another length. */
export const textEvent = (server, i) => `id: ${i}\ndata: ${'word '.repeat(wordsOf(server))}${i}\n\n`

/** Words of an event: two numbers in the server's id tell its place and its start. */
function wordsOf (server) {
  const [place, start] = server.match(/\d+/g).map(Number)
  return 1 + 2 * place + start % 2
}

export const ANSWERS = {
  /** A plain call. A grey server runs each request to its end, and answers part of them with a failure of its own. */
  call (req, { headOf, isGrey, onWhole }) {
    const fails = isGrey && ++greyCalls % GREY_CYCLE < GREY_FAILURES
    const [status, body] = fails ? [503, 'the database is away'] : [200, 'ok']
    setTimeout(() => {
      req.socket.write(`${headOf(req, status)}Content-Length: ${body.length}\r\n\r\n${body}`)
      onWhole()
    }, CALL_MS)
  },

  /** A plain service that answers with a feed of events in chunks. */
  feed (req, { headOf, onWhole }) {
    const events = numbers(1).map((i) => feedEvent(req.server, i))
    inChunks(req, events, { headOf, onWhole })
  },

  /** A model server that states the length of its stream. */
  length (req, { headOf, onWhole }) {
    const events = numbers(1 + Number(req.headers['last-event-id'] ?? 0)).map((i) => textEvent(req.server, i))
    req.socket.write(`${headOf(req, 200, 'Content-Type: text/event-stream\r\n')}Content-Length: ${events.join('').length}\r\n\r\n`)
    writeEach(req.socket, events, onWhole)
  },

  /** A plain service that writes its feed at once, with its length. Its path says whether a blank line stands behind the last entry as well. */
  list (req, { headOf, onWhole }) {
    const body = numbers(1).map((i) => `data: entry ${i}`).join('\n\n') + (req.target.endsWith('/open-end') ? '' : '\n\n')
    req.socket.write(`${headOf(req, 200, 'Content-Type: text/event-stream\r\n')}Content-Length: ${body.length}\r\n\r\n${body}`)
    onWhole()
  },

  /** A model server whose stream, or a plain service whose feed, comes in chunks. Its path says how the ids of its events increase. */
  numbered (req, { headOf, onWhole }) {
    const idOf = NUMBERINGS[req.target.split('/').at(-1)]
    const after = Number(req.headers['last-event-id'] ?? -Infinity)
    const events = numbers(1).filter((i) => idOf(i) > after).map((i) => `id: ${idOf(i)}\ndata: piece ${i}\n\n`)
    inChunks(req, events, { headOf, onWhole })
  }
}

function numbers (from, to = EVENTS) {
  return Array.from({ length: Math.max(0, to - from + 1) }, (_, i) => from + i)
}

function inChunks (req, events, { headOf, onWhole }) {
  req.socket.write(`${headOf(req, 200, 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n')}\r\n`)
  writeEach(req.socket, [...events.map((event) => `${event.length.toString(16)}\r\n${event}\r\n`), '0\r\n\r\n'], onWhole)
}

function writeEach (socket, parts, onWhole) {
  let next = 0
  const timer = setInterval(() => {
    if (socket.destroyed) return clearInterval(timer)
    socket.write(parts[next++])
    if (next < parts.length) return
    clearInterval(timer)
    onWhole()
  }, EVENT_INTERVAL_MS)
}
