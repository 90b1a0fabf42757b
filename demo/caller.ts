/** Simulated caller that sends requests, follows and resumes their answers, and checks the results. */
import { createParser } from 'eventsource-parser'
import { request } from 'undici'
import { serviceAnswer, fullAnswer, type Ledger } from '../standins/index.ts'
import type { Outcome } from '../core/outcome/index.ts'

/** One request to send. */
export interface CallerRequest {
  account: string
  credential: string
  className: string
  input: string
  maxTokens: number
  stream: boolean
  idempotencyKey: string
  /** False for a request that must run at most once. */
  idempotent: boolean
}

/** Result of a request. */
export interface CallerResult { outcome: Outcome | 'lost', firstTokenMs: number | undefined, wholeMs: number, resumes: number }

/** Returns the address of a daemon, like the platform's load balancer. */
export type Balancer = () => string

interface Session { req: CallerRequest, id: string | undefined, tokens: string[], firstTokenMs: number | undefined, startedAtMs: number, resumes: number }

const MAX_RESUMES = 20
const RESUME_DELAY_MS = 100
const TIMEOUT_MS = 130_000

/** Sends one request, follows it across daemons, and reports a wrong or lost answer to the ledger. */
export async function sendRequest (req: CallerRequest, balancer: Balancer, ledger: Ledger): Promise<CallerResult> {
  const session: Session = { req, id: undefined, tokens: [], firstTokenMs: undefined, startedAtMs: Date.now(), resumes: 0 }
  if (!req.idempotent) ledger.expectOnce(req.input)
  for (;;) {
    const outcome = await attempt(session, balancer())
    if (outcome !== 'resume') return recordResult(session, outcome, ledger)
    if (++session.resumes > MAX_RESUMES) return recordResult(session, 'lost', ledger)
    await new Promise((resolve) => setTimeout(resolve, RESUME_DELAY_MS))
  }
}

function recordResult (session: Session, outcome: Outcome | 'lost', ledger: Ledger): CallerResult {
  const { req } = session
  if (outcome === 'lost') ledger.lost()
  if (outcome === 'not-run') ledger.recordNotRun(req.input)
  if (outcome === 'answered' && !isCorrect(session)) ledger.crossed()
  return { outcome, firstTokenMs: session.firstTokenMs, wholeMs: Date.now() - session.startedAtMs, resumes: session.resumes }
}

function isCorrect ({ req, tokens }: Session): boolean {
  const expected = req.stream ? fullAnswer(req.input, req.maxTokens).join('') : serviceAnswer(req.input)
  return tokens.join('') === expected
}

/** Opens one connection that sends the request, or resumes it once its id is known. */
async function attempt (session: Session, url: string): Promise<Outcome | 'lost' | 'resume'> {
  try {
    const res = session.id === undefined ? await send(session, url) : await resume(session, url)
    session.id ??= res.headers['request-id'] as string | undefined
    if (String(res.headers['content-type']).startsWith('text/event-stream')) return await follow(session, res.body)
    if (res.statusCode === 303) {
      await res.body.dump()
      return 'resume'
    }
    const body = await res.body.json() as { outcome?: Outcome, answer?: string }
    if (body.answer !== undefined) session.tokens = [body.answer]
    return body.outcome ?? 'lost'
  } catch (err) {
    // A refused connection means that the balancer's state is stale. A closed one is resumed by id or by sending the same idempotency key again.
    return (err as NodeJS.ErrnoException).code === undefined && !(err instanceof Error) ? 'lost' : 'resume'
  }
}

function send ({ req }: Session, url: string) {
  return request(`${url}/v1/classes/${req.className}/requests`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${req.credential}`,
      'content-type': 'application/json',
      'idempotency-key': req.idempotencyKey,
      accept: req.stream ? 'text/event-stream' : 'application/json'
    },
    body: JSON.stringify({ input: req.input, maxTokens: req.maxTokens }),
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS
  })
}

function resume ({ req, id, tokens }: Session, url: string) {
  return request(`${url}/v1/requests/${encodeURIComponent(id!)}/answer`, {
    headers: {
      authorization: `Bearer ${req.credential}`,
      accept: req.stream ? 'text/event-stream' : 'application/json',
      'last-event-id': String(tokens.length)
    },
    headersTimeout: TIMEOUT_MS,
    bodyTimeout: TIMEOUT_MS
  })
}

async function follow (session: Session, body: AsyncIterable<unknown>): Promise<Outcome | 'resume'> {
  let outcome: Outcome | 'resume' = 'resume'
  const decoder = new TextDecoder()
  const parser = createParser({
    onEvent: ({ event, data }) => {
      const value = JSON.parse(data) as { tokens: string[], outcome: Outcome }
      if (event === 'end' || event === 'problem') outcome = value.outcome
      else if (event !== 'moved') appendTokens(session, value.tokens)
    }
  })
  try {
    for await (const part of body) parser.feed(decoder.decode(part as Buffer, { stream: true }))
  } catch {
    return outcome
  }
  return outcome
}

function appendTokens (session: Session, tokens: readonly string[]): void {
  session.firstTokenMs ??= Date.now() - session.startedAtMs
  session.tokens.push(...tokens)
}
