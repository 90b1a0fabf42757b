/** Writes a proxied answer to its caller as it comes. */
import type { ServerResponse } from 'node:http'
import type { AnswerHead, Header } from '../../core/answer/index.ts'
import type { FinalWord } from '../request/live_answer.ts'
import type { RequestTask } from '../request/request_task.ts'

const BAD_GATEWAY = 502
const UNAVAILABLE = 503
const GATEWAY_TIMEOUT = 504
/** When to come back after every endpoint that was tried turned a request away, in milliseconds: what they have under way takes so long. */
const RETRY_NOT_RUN_MS = 250
/** Headers that concern one connection only; the answer is framed anew for its caller. */
const HOP_BY_HOP = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'])

/** Options of {@linkcode writeExchange}. */
export interface WriteExchangeOptions {
  /** The caller's connection takes no further request. */
  lastOnConnection (): boolean
}

/**
 * Follows a task until its last word.
 *
 * An answer that ends early never looks complete: what has begun without its explicit end is cut off with its connection.
 */
export function writeExchange (res: ServerResponse, task: RequestTask<Buffer>, options: WriteExchangeOptions): void {
  let written = 0
  const follow = () => {
    if (res.destroyed) return
    const pieces = task.answer.pieces
    if (!res.headersSent && task.head) begin(res, task.head, { whole: task.final ? sizeOf(pieces) : undefined, last: options.lastOnConnection() })
    if (res.headersSent) for (; written < pieces.length; written++) res.write(pieces[written])
    if (task.final) finish(res, task, { final: task.final, last: options.lastOnConnection() })
  }
  const stop = task.subscribe(follow)
  res.on('close', stop)
  // The caller may have left while its request was looked at; nothing tells of it again.
  if (res.destroyed) stop()
  else follow()
}

function begin (res: ServerResponse, head: AnswerHead, options: { whole: number | undefined, last: boolean }): void {
  const headers = head.headers.filter(([name]) => !HOP_BY_HOP.has(name.toLowerCase()))
  const hasLength = headers.some(([name]) => name.toLowerCase() === 'content-length')
  if (!hasLength && options.whole !== undefined) headers.push(['Content-Length', String(options.whole)])
  send(res, head.status, headers, options.last)
}

function finish (res: ServerResponse, task: RequestTask<Buffer>, options: { final: FinalWord, last: boolean }): void {
  if (options.final.outcome === 'answered') {
    res.end()
  } else if (res.headersSent) {
    res.destroy()
  } else if (options.final.outcome === 'unknown' && task.failureAnswer) {
    begin(res, task.failureAnswer.head, { whole: task.failureAnswer.body.length, last: options.last })
    res.end(task.failureAnswer.body)
  } else {
    const notRun = options.final.outcome === 'not-run'
    refuse(res, { status: statusOf(options.final), retryAfterMs: options.final.retryAfterMs ?? (notRun ? RETRY_NOT_RUN_MS : undefined), why: options.final.reason, last: options.last })
  }
}

function statusOf (final: FinalWord): number {
  if (final.outcome === 'not-run') return UNAVAILABLE
  return final.reason.startsWith('deadline') ? GATEWAY_TIMEOUT : BAD_GATEWAY
}

/** What a caller is told that gets no endpoint's answer. */
export interface OwnAnswer {
  status: number
  retryAfterMs: number | undefined
  why: string
  /** The connection takes no further request. */
  last: boolean
}

/** Answers in the daemon's own name. */
export function refuse (res: ServerResponse, answer: OwnAnswer): void {
  const body = `${answer.why}\n`
  const headers: Header[] = [['Content-Type', 'text/plain; charset=utf-8'], ['Content-Length', String(Buffer.byteLength(body))]]
  if (answer.retryAfterMs !== undefined) headers.push(['Retry-After', (answer.retryAfterMs / 1000).toFixed(3)])
  send(res, answer.status, headers, answer.last)
  res.end(body)
}

function send (res: ServerResponse, status: number, headers: readonly Header[], last: boolean): void {
  res.sendDate = false
  res.writeHead(status, [...headers, ...(last ? [['Connection', 'close'] as const] : [])].flat())
}

function sizeOf (pieces: readonly Buffer[]): number {
  return pieces.reduce((sum, piece) => sum + piece.length, 0)
}
