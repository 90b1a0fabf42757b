/** HTTP API for operators, monitoring and the balancer, on a separate port. */
import { createHash, randomUUID } from 'node:crypto'
import Router from '@koa/router'
import Koa, { type Context } from 'koa'
import { InvalidError } from '../../core/config/index.ts'
import { as, type DaemonId, type Fingerprint } from '../../core/ids/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { StoreError } from '../../store/index.ts'
import type { AuditFilter, AuditTrail } from '../config/audit.ts'
import type { Broker } from '../request/broker.ts'
import { ConfigConflictError, ConfigUnsureError, type ConfigTask, type RevisionReach } from '../config/config_task.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { Metrics } from '../metrics.ts'
import type { QuarantineTask } from '../quarantine/index.ts'
import type { StatusReport } from '../status.ts'

/** Options of {@linkcode operatorsApi}. */
export interface OperatorsApiOptions {
  self: DaemonId
  broker: Broker
  config: ConfigTask
  audit: AuditTrail
  membership: MembershipTask
  metrics: Metrics
  quarantine: QuarantineTask
  /** Credential that is accepted until a configuration is in force, so that the first one can be applied. */
  bootstrapSecret: string
  ready (): boolean
  drain (who: string): void
  status (): Promise<StatusReport>
}

const MAX_BODY_BYTES = 1 << 20
const PROPAGATION_TIMEOUT_MS = 7000
const PROPAGATION_POLL_MS = 50

/** Creates the Koa application that serves operators, monitoring and the balancer. */
export function operatorsApi (options: OperatorsApiOptions): Koa {
  const router = new Router()
  router.get('/livez', (ctx) => { ctx.body = 'alive' })
  router.get('/readyz', (ctx) => {
    ctx.status = options.ready() ? 200 : 503
    ctx.body = options.ready() ? 'ready' : 'not ready'
  })
  router.get('/metrics', async (ctx) => {
    // Building the status report sets the gauges that are computed only on demand.
    await options.status()
    ctx.type = options.metrics.registry.contentType
    ctx.body = await options.metrics.registry.metrics()
  })
  router.get('/status', async (ctx) => {
    operatorOf(ctx, options)
    ctx.body = await options.status()
  })
  router.get('/explain/:id', async (ctx) => {
    operatorOf(ctx, options)
    const decisions = await options.broker.explain(as(ctx.params.id!))
    if (decisions) ctx.body = { request: ctx.params.id, decisions }
    else sendError(ctx, 404, 'no daemon holds this request')
  })
  router.get('/config', (ctx) => {
    operatorOf(ctx, options)
    const accepted = options.config.inForce
    if (accepted) ctx.body = { ...accepted, sure: options.config.sure, reach: options.config.reach(accepted.revision) }
    else sendError(ctx, 404, 'no configuration is in force yet')
  })
  router.put('/config', async (ctx) => {
    const operator = operatorOf(ctx, options)
    const base = ctx.get('if-match')
    const accepted = await options.config.apply(await readJson(ctx), { operator, ...(base !== '' && { base: Number(base.replaceAll('"', '')) }) })
    ctx.body = { revision: accepted.revision, diff: accepted.changes.at(-1)!.diff, reach: await inForce(options.config, accepted.revision) }
  })
  router.get('/audit', async (ctx) => {
    operatorOf(ctx, options)
    ctx.body = await options.audit.read(auditFilterOf(ctx))
  })
  router.post('/quarantine/:fingerprint/release', (ctx) => {
    const who = operatorOf(ctx, options)
    const released = as<Fingerprint>(ctx.params.fingerprint!)
    if (!options.quarantine.release(released, who)) return sendError(ctx, 404, 'no such request is quarantined')
    options.audit.write({ kind: 'release', id: randomUUID(), who, atMs: Date.now(), what: { fingerprint: released } })
    ctx.body = { released }
  })
  router.post('/drain', (ctx) => {
    options.drain(operatorOf(ctx, options))
    ctx.body = { draining: options.self }
  })
  const app = new Koa()
  app.silent = true
  app.use(handleErrors)
  app.use(router.routes())
  return app
}

/** Waits until all daemons report the revision as in force, or until {@linkcode PROPAGATION_TIMEOUT_MS} has passed. */
async function inForce (config: ConfigTask, revision: number): Promise<RevisionReach> {
  const endsAtMs = steadyNow() + PROPAGATION_TIMEOUT_MS
  for (;;) {
    const reach = config.reach(revision)
    if (reach.daemons >= reach.of || steadyNow() > endsAtMs) return reach
    await delay(PROPAGATION_POLL_MS)
  }
}

/** Thrown if a request lacks the credential of an operator. */
class ForbiddenError extends Error {
  override name = 'ForbiddenError'
}

function operatorOf (ctx: Context, options: OperatorsApiOptions): string {
  const credential = /^Bearer (.+)$/.exec(ctx.get('authorization'))?.[1]
  const accepted = options.config.inForce
  if (!accepted && credential === options.bootstrapSecret) return 'bootstrap'
  const hash = credential && createHash('sha256').update(credential).digest('hex')
  const operator = accepted?.config.operators.find((candidate) => candidate.credentialSha256 === hash)
  if (!operator) throw new ForbiddenError('expected the credential of an operator as a bearer token')
  return operator.name
}

async function handleErrors (ctx: Context, next: () => Promise<unknown>): Promise<void> {
  try {
    await next()
  } catch (err) {
    if (err instanceof ForbiddenError) return sendError(ctx, 401, err.message)
    if (err instanceof InvalidError) return sendError(ctx, 400, err.message, { problems: err.problems })
    if (err instanceof ConfigConflictError) return sendError(ctx, 409, err.message, { revision: err.revision, difference: err.difference })
    if (err instanceof ConfigUnsureError) return sendError(ctx, 504, err.message, { outcome: 'unknown' })
    if (err instanceof StoreError) return sendError(ctx, 503, err.message, { outcome: 'not-run' })
    sendError(ctx, 500, (err as Error).message)
  }
}

function sendError (ctx: Context, status: number, detail: string, more: object = {}): void {
  ctx.status = status
  ctx.body = { status, detail, ...more }
  ctx.type = 'application/problem+json'
}

async function readJson (ctx: Context): Promise<unknown> {
  const parts: Buffer[] = []
  let length = 0
  for await (const part of ctx.req) {
    length += (part as Buffer).length
    if (length > MAX_BODY_BYTES) throw new InvalidError('body', [`expected at most ${MAX_BODY_BYTES} bytes`])
    parts.push(part as Buffer)
  }
  try {
    return JSON.parse(Buffer.concat(parts).toString('utf8'))
  } catch (err) {
    throw new InvalidError('body', [(err as Error).message])
  }
}

function auditFilterOf (ctx: Context): AuditFilter {
  const { kind, who, from, to } = ctx.query as Record<string, string | undefined>
  return {
    ...(kind !== undefined && { kind: kind as AuditFilter['kind'] }),
    ...(who !== undefined && { who }),
    ...(from !== undefined && { fromMs: Date.parse(from) }),
    ...(to !== undefined && { toMs: Date.parse(to) })
  } as AuditFilter
}
