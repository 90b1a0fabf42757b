/** Writes a live answer to a caller, as server-sent events or as one JSON document. */
import type { ServerResponse } from 'node:http'
import type { LiveAnswer } from '../request/live_answer.ts'
import { problemBody, problemOf, sendProblem } from './problem.ts'

/** SSE `retry` delay after which a caller whose stream moved to another daemon should reconnect, in milliseconds. */
const RECONNECT_MS = 100

/**
 * Streams an answer as server-sent events, from a token offset on.
 *
 * Tokens are read from the answer only while the socket accepts writes, so a slow reader needs no memory beyond the answer itself, which is
 * bounded. Tokens that arrive in the same event-loop turn are written as one event.
 */
export function streamAnswer (res: ServerResponse, answer: LiveAnswer, from: number): void {
  let cursor = from
  let scheduled = false
  let writable = true
  const flush = () => {
    scheduled = false
    if (res.closed || !writable || !tryWriteHeaders(res, answer)) return
    if (answer.tokens.length > cursor) {
      const tokens = answer.tokens.slice(cursor)
      cursor = answer.tokens.length
      writable = res.write(`id: ${cursor}\ndata: ${JSON.stringify({ tokens })}\n\n`)
    }
    if (answer.final && writable) finishStream(res, answer)
    else if (answer.movedAway && writable) endMovedStream(res)
  }
  const schedule = () => {
    if (scheduled) return
    scheduled = true
    setImmediate(flush)
  }
  const stop = answer.subscribe(schedule)
  res.on('drain', () => {
    writable = true
    schedule()
  })
  res.on('close', stop)
  schedule()
}

/** Waits for the complete answer and sends it as one JSON document. */
export function sendAnswer (res: ServerResponse, answer: LiveAnswer): void {
  const check = () => {
    if (res.headersSent) return
    if (answer.movedAway) {
      res.writeHead(303, { location: `/v1/requests/${encodeURIComponent(answer.id)}/answer`, 'request-id': answer.id }).end()
    } else if (answer.final?.outcome === 'answered') {
      const body = JSON.stringify({ request: answer.id, outcome: 'answered', answer: answer.tokens.join(''), tokens: answer.tokens.length })
      res.writeHead(200, { 'content-type': 'application/json', 'request-id': answer.id }).end(body)
    } else if (answer.final) {
      sendProblem(res, problemOf(answer.id, answer.final))
    }
  }
  const stop = answer.subscribe(check)
  res.on('close', stop)
  check()
}

/**
 * Writes the headers once an endpoint has started on the request, so that a refusal before that can have its own status. Returns true if they
 * are written.
 */
function tryWriteHeaders (res: ServerResponse, answer: LiveAnswer): boolean {
  if (res.headersSent) return true
  if (answer.final && answer.final.outcome !== 'answered' && answer.tokens.length === 0) {
    sendProblem(res, problemOf(answer.id, answer.final))
    return false
  }
  if (!answer.started && !answer.final && !answer.movedAway) return false
  res.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store', 'request-id': answer.id })
  return true
}

function finishStream (res: ServerResponse, answer: LiveAnswer): void {
  const final = answer.final!
  if (final.outcome === 'answered') res.end(`event: end\ndata: ${JSON.stringify({ outcome: 'answered', tokens: answer.tokens.length })}\n\n`)
  else res.end(`event: problem\ndata: ${problemBody(problemOf(answer.id, final))}\n\n`)
}

function endMovedStream (res: ServerResponse): void {
  res.end(`event: moved\nretry: ${RECONNECT_MS}\ndata: {}\n\n`)
}
