/** Streams a proxied answer to its caller. */
import type { ServerResponse } from 'node:http'
import { hasNoBody, type AnswerHead, type Header } from '../../core/answer/index.ts'
import type { MemoryEntry } from '../../core/memory/index.ts'
import { mayPassOn, ownStatus, type EndCause } from '../../core/outcome/index.ts'
import type { MemoryGuard } from '../memory/index.ts'
import type { Metrics } from '../metrics.ts'
import type { FinalResult } from '../request/live_answer.ts'
import type { RequestTask } from '../request/request_task.ts'
import { AnswerSender } from './answer_sender.ts'
import { LEAVING_REASON } from './refusal.ts'

/**
 * `Retry-After` for a request that every endpoint tried has refused, in milliseconds: about the time that their running requests take to
 * finish.
 */
const RETRY_AFTER_NOT_RUN_MS = 250
/** Hop-by-hop headers, which are not forwarded: the answer is framed anew for the caller's connection. */
const HOP_BY_HOP = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade'])

/** Options of {@linkcode writeExchange}. */
export interface WriteExchangeOptions {
  /** Returns true if the caller's connection is to close after this response; called once, when its headers are written. */
  closeConnection (): boolean
  /** Called if the answer cannot be written. */
  onError (err: Error): void
  guard: MemoryGuard
  metrics: Metrics
  /** Counts the request's body, which the task holds until its final result. Default: it is not counted. */
  body?: MemoryEntry | undefined
}

/**
 * Writes a task's answer until its final result, as fast as its caller takes it. With a memory limit the pieces are taken out of the task's answer.
 *
 * A truncated answer never looks complete: if an answer that has begun fails, its connection is destroyed without the end of the message. An answer whose status would
 * guarantee that a request has not run, although it may have, is replaced by one of the daemon's own.
 */
export function writeExchange (res: ServerResponse, task: RequestTask<Buffer>, options: WriteExchangeOptions): void {
  const { guard, metrics, body } = options
  const sender = new AnswerSender(res, task, guard)
  let written = 0
  const unsent = () => (guard.account.isBounded ? task.answer.take() : task.answer.pieces.slice(written))
  const follow = () => {
    if (task.final) body?.close()
    else body?.move(task.state.phase === 'running' ? 'sending' : 'queued')
    if (res.destroyed) return
    if (!res.headersSent && task.head) passOnHead(res, task, task.head, { whole: task.final ? totalBytes(task.answer.pieces) : undefined, metrics, closeConnection: options.closeConnection() })
    // The rest of an answer that was replaced is not written.
    if (res.writableEnded) return
    if (res.headersSent) {
      for (const piece of unsent()) {
        sender.push(piece)
        written++
      }
    }
    if (task.final) writeEnd(res, task, { final: task.final, sender, metrics, closeConnection: () => options.closeConnection() })
  }
  const followSafely = () => {
    try {
      follow()
    } catch (err) {
      options.onError(err as Error)
    }
  }
  const stop = task.subscribe(followSafely)
  res.on('close', stop)
  // The caller may have disconnected before this call, in which case no further `close` event is emitted.
  if (res.destroyed) stop()
  else followSafely()
}

/** Options of {@linkcode passOnHead}; `whole` is the length of the body, if it is known. */
interface PassOnHeadOptions { whole: number | undefined, metrics: Metrics, closeConnection: boolean }

/** Writes the head of an endpoint's answer; if its status says more about the run than is known, writes a whole answer of the daemon's own in its place. */
function passOnHead (res: ServerResponse, task: RequestTask<Buffer>, head: AnswerHead, options: PassOnHeadOptions): void {
  const { final, state } = task
  // An endpoint that is still writing its answer has not refused the request.
  if (mayPassOn(head.status, { outcome: final?.outcome ?? 'unknown', mayRunAgain: state.traits.idempotent })) writeHead(res, head, options)
  else replaceAnswer(res, task, head, options)
}

function writeHead (res: ServerResponse, head: AnswerHead, options: Omit<PassOnHeadOptions, 'metrics'>): void {
  const headers = head.headers.filter(([name]) => !HOP_BY_HOP.has(name.toLowerCase()))
  const isFramed = hasNoBody(head.status, res.req.method!) || headers.some(([name]) => name.toLowerCase() === 'content-length')
  if (!isFramed && options.whole !== undefined) headers.push(['Content-Length', String(options.whole)])
  send(res, head.status, headers, options.closeConnection)
}

function writeEnd (res: ServerResponse, task: RequestTask<Buffer>, options: { final: FinalResult, sender: AnswerSender, metrics: Metrics, closeConnection (): boolean }): void {
  const { final, metrics } = options
  const failure = task.failureAnswer
  if (final.outcome === 'answered') {
    options.sender.end()
  } else if (res.headersSent) {
    options.sender.breakOff()
  } else if (final.outcome === 'unknown' && failure) {
    passOnHead(res, task, failure.head, { whole: failure.body.length, metrics, closeConnection: options.closeConnection() })
    if (!res.writableEnded) res.end(failure.body)
  } else {
    const notRun = final.outcome === 'not-run'
    refuse(res, { status: ownStatus(final.outcome, causeOf(final)), retryAfterMs: final.retryAfterMs ?? (notRun ? RETRY_AFTER_NOT_RUN_MS : undefined), why: final.reason, closeConnection: options.closeConnection() })
  }
}

/** Answers in place of an endpoint whose status guarantees what is not known. */
function replaceAnswer (res: ServerResponse, task: RequestTask<Buffer>, { status }: AnswerHead, { metrics, closeConnection }: PassOnHeadOptions): void {
  const by = ownStatus('unknown', 'failed')
  task.recordDecision('answer-replaced', { status, by })
  metrics.answersReplaced.inc({ status: String(status) })
  refuse(res, { status: by, retryAfterMs: undefined, why: `the endpoint answered with status ${status} and did not say that it has not run the request`, closeConnection })
}

function causeOf ({ reason }: FinalResult): EndCause {
  if (reason === LEAVING_REASON) return 'leaving'
  return reason.startsWith('deadline') ? 'out-of-time' : 'failed'
}

/** A response of the daemon's own, for a request that gets no endpoint's answer. */
export interface DaemonResponse {
  status: number
  /** Undefined or `Infinity` if the caller is not asked to come back. */
  retryAfterMs: number | undefined
  why: string
  /** Close the connection after this response. */
  closeConnection: boolean
}

/** Sends a plain-text response of the daemon's own. */
export function refuse (res: ServerResponse, answer: DaemonResponse): void {
  const body = `${answer.why}\n`
  const headers: Header[] = [['Content-Type', 'text/plain; charset=utf-8'], ['Content-Length', String(Buffer.byteLength(body))]]
  if (Number.isFinite(answer.retryAfterMs)) headers.push(['Retry-After', (answer.retryAfterMs! / 1000).toFixed(3)])
  send(res, answer.status, headers, answer.closeConnection)
  res.end(body)
}

function send (res: ServerResponse, status: number, headers: readonly Header[], closeConnection: boolean): void {
  res.sendDate = false
  res.writeHead(status, [...headers, ...(closeConnection ? [['Connection', 'close'] as const] : [])].flat())
}

function totalBytes (pieces: readonly Buffer[]): number {
  return pieces.reduce((sum, piece) => sum + piece.length, 0)
}
