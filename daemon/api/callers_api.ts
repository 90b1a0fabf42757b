/** HTTP API for callers. */
import { createHash } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import Router from '@koa/router'
import Koa, { type Context } from 'koa'
import { z } from 'zod'
import { InvalidError, validate } from '../../core/config/index.ts'
import { as, daemonOf, type AccountId, type RequestId } from '../../core/ids/index.ts'
import { sendAnswer, streamAnswer } from './answer_writer.ts'
import { RefusedError, type Broker } from '../request/broker.ts'
import type { ConfigTask } from '../config/config_task.ts'
import type { LiveAnswer } from '../request/live_answer.ts'
import { refusedRequest, sendProblem, type Problem } from './problem.ts'
import type { Settings } from '../settings.ts'

/** Options of {@linkcode callersApi}. */
export interface CallersApiOptions {
  broker: Broker
  config: ConfigTask
  settings: Settings
}

const submissionSchema = z.strictObject({ input: z.string().min(1), maxTokens: z.number().int().positive().optional() })
const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/

/** Carries a problem to the error handler, which sends it to the caller. */
class ProblemError extends Error {
  override name = 'ProblemError'
  readonly problem: Problem

  constructor (problem: Problem) {
    super(problem.detail)
    this.problem = problem
  }
}

/** Creates the Koa application that serves callers. */
export function callersApi (options: CallersApiOptions): Koa {
  const { broker } = options
  const router = new Router({ prefix: '/v1' })
  router.post('/classes/:name/requests', async (ctx) => {
    const account = accountOf(ctx, options.config)
    const { input, maxTokens } = await readSubmission(ctx.req, options.settings.limits.bodyBytes)
    const task = broker.submit({ account, className: ctx.params.name!, input, maxTokens, idempotencyKey: idempotencyKeyOf(ctx) })
    respond(ctx, broker, account, task)
  })
  router.get('/requests/:id', (ctx) => {
    const answer = find(ctx, options)
    const state = answer.final ? answer.final.outcome : answer.started ? 'running' : 'waiting'
    ctx.body = { request: answer.id, state, tokens: answer.tokens.length }
  })
  router.get('/requests/:id/answer', (ctx) => {
    const answer = find(ctx, options)
    ctx.respond = false
    if (wantsEvents(ctx)) streamAnswer(ctx.res, answer, lastEventId(ctx))
    else sendAnswer(ctx.res, answer)
  })
  router.delete('/requests/:id', async (ctx) => {
    const stopped = await broker.cancel(as(ctx.params.id!), accountOf(ctx, options.config))
    if (!stopped) throw new ProblemError({ status: 404, title: 'No such request', detail: 'it is not running for this account', outcome: 'unknown' })
    ctx.body = { request: ctx.params.id, state: 'cancelled' }
  })
  const app = new Koa()
  app.silent = true
  app.use(handleErrors)
  app.use(router.routes())
  app.use((ctx) => { throw new ProblemError(refusedRequest(404, `no such resource: ${ctx.method} ${ctx.path}`)) })
  return app
}

/** Sends the answer of the request, or of the earlier request that used the same idempotency key. */
function respond (ctx: Context, broker: Broker, account: AccountId, task: LiveAnswer): void {
  ctx.respond = false
  const write = (answer: LiveAnswer) => (wantsEvents(ctx) ? streamAnswer(ctx.res, answer, lastEventId(ctx)) : sendAnswer(ctx.res, answer))
  let responded = false
  const respondOnce = () => {
    if (responded || (!task.started && !task.final)) return
    responded = true
    const repeats = task.final?.repeats
    const answer = repeats === undefined ? task : broker.find(repeats, account)
    if (answer) write(answer)
    // Unsubscribe only after the writer has subscribed: a request without subscribers counts as abandoned by its caller.
    stop()
    if (!answer) sendProblem(ctx.res, { status: 502, title: 'Request may have been run', detail: 'the key was used before and its answer is no longer kept', outcome: 'unknown', request: task.final!.repeats! })
  }
  const stop = task.subscribe(respondOnce)
  ctx.res.on('close', stop)
  respondOnce()
}

async function handleErrors (ctx: Context, next: () => Promise<unknown>): Promise<void> {
  try {
    await next()
  } catch (err) {
    const problem = problemFor(err)
    ctx.respond = false
    if (!ctx.req.complete) ctx.res.setHeader('connection', 'close')
    sendProblem(ctx.res, problem)
  }
}

function problemFor (err: unknown): Problem {
  if (err instanceof ProblemError) return err.problem
  if (err instanceof InvalidError) return refusedRequest(400, err.message)
  if (err instanceof RefusedError) return { ...refusedRequest(err.status, err.message), retryAfterMs: err.retryAfterMs }
  return { status: 500, title: 'Internal error', detail: (err as Error).message, outcome: 'unknown' }
}

function accountOf (ctx: Context, config: ConfigTask): AccountId {
  const credential = /^Bearer (.+)$/.exec(ctx.get('authorization'))?.[1]
  const hash = credential && createHash('sha256').update(credential).digest('hex')
  const account = config.inForce?.config.accounts.find((candidate) => candidate.credentialSha256 === hash)
  if (account) return as(account.name)
  if (!config.inForce) throw new RefusedError('Cannot accept request: no configuration is in force yet', { status: 503, retryAfterMs: 1000 })
  throw new ProblemError(refusedRequest(401, 'expected the credential of a client account as a bearer token'))
}

function idempotencyKeyOf (ctx: Context): string | undefined {
  const key = ctx.get('idempotency-key')
  if (key === '') return undefined
  if (!KEY_PATTERN.test(key)) throw new ProblemError(refusedRequest(400, 'Idempotency-Key: expected 1 to 255 visible characters'))
  return key
}

async function readSubmission (req: IncomingMessage, limit: number): Promise<z.infer<typeof submissionSchema>> {
  const text = await readLimited(req, limit)
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (err) {
    throw new ProblemError(refusedRequest(400, `body: expected JSON, ${(err as Error).message}`))
  }
  return validate(submissionSchema, value, 'request')
}

async function readLimited (req: IncomingMessage, limit: number): Promise<string> {
  const parts: Buffer[] = []
  let length = 0
  for await (const part of req) {
    length += (part as Buffer).length
    if (length > limit) throw new ProblemError(refusedRequest(413, `body: expected at most ${limit} bytes`))
    parts.push(part as Buffer)
  }
  return Buffer.concat(parts).toString('utf8')
}

function find (ctx: Context, options: CallersApiOptions): LiveAnswer {
  const id = ctx.params.id as RequestId
  const answer = options.broker.find(id, accountOf(ctx, options.config))
  if (answer) return answer
  const detail = daemonOf(id) ? 'its answer is no longer kept, or it is another account\'s' : 'not a request id'
  throw new ProblemError({ status: 404, title: 'No such request', detail, outcome: 'unknown' })
}

function wantsEvents (ctx: Context): boolean {
  return ctx.get('accept').includes('text/event-stream')
}

function lastEventId (ctx: Context): number {
  const id = ctx.get('last-event-id')
  if (id === '') return 0
  if (!/^\d{1,9}$/.test(id)) throw new ProblemError(refusedRequest(400, 'Last-Event-ID: expected the id of an event of this stream'))
  return Number(id)
}
