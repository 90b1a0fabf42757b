/** Refusal of connections that are accepted while a daemon takes no new ones. */
import type { Socket } from 'node:net'
import { RETRY_AFTER_LEAVING_MS } from './refusal.ts'

/** Reason that callers get. */
export const SHED_REASON = 'Cannot take request: this daemon is handed too many connections'
const BODY = `${SHED_REASON}\n`
const ANSWER = [
  'HTTP/1.1 503 Service Unavailable',
  'Content-Type: text/plain; charset=utf-8',
  `Content-Length: ${BODY.length}`,
  `Retry-After: ${(RETRY_AFTER_LEAVING_MS / 1000).toFixed(3)}`,
  'Connection: close',
  '',
  BODY
].join('\r\n')

/**
 * Answers 503 as soon as bytes of a request arrive, without parsing them, so that its caller knows that it has not run; closes a connection on which none arrive.
 * What comes later is read and dropped: unread bytes would reset the connection, and the answer with it.
 * @param limitMs Time limit for the first bytes, and for the caller's end of the connection after the answer, in milliseconds.
 */
export function shedConnection (socket: Socket, limitMs: number): void {
  let timer = setTimeout(() => setImmediate(() => { if (socket.bytesRead === 0) socket.resetAndDestroy() }), limitMs)
  socket.on('error', () => { /* the caller may have gone */ })
  socket.once('close', () => clearTimeout(timer))
  socket.once('data', () => {
    clearTimeout(timer)
    timer = setTimeout(() => socket.destroy(), limitMs)
    socket.end(ANSWER)
  })
  socket.on('data', () => {})
  socket.once('end', () => socket.end())
}
