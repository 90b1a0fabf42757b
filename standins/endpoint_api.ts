/** HTTP servers for the stand-in engine and the stand-in service. */
import type { ServerResponse } from 'node:http'
import Router from '@koa/router'
import type { Context } from 'koa'
import { AttemptError } from '../core/outcome/index.ts'
import type { EngineOrder, StreamSink, StreamSpec } from '../endpoints/index.ts'
import { createApplication, readJson, serve, type RunningServer } from './_serve.ts'
import type { StandInEngine } from './engine.ts'
import type { StandInService } from './service.ts'

/** Serves one engine over HTTP; streams are sent as server-sent events. */
export async function serveEngine (engine: StandInEngine): Promise<RunningServer> {
  const router = new Router()
  router.post('/streams', async (ctx) => {
    const spec = await readJson(ctx.req) as StreamSpec
    sendStream(ctx, (sink) => engine.start(spec, sink))
  })
  router.get('/streams/:id', (ctx) => {
    sendStream(ctx, (sink) => engine.resume(ctx.params.id!, Number(ctx.query.from), sink))
  })
  router.delete('/streams/:id', async (ctx) => { ctx.body = await engine.cancel(ctx.params.id!, Number(ctx.query.from)) })
  router.post('/streams/:id/export', async (ctx) => {
    const { toAddress } = await readJson(ctx.req) as { toAddress: string }
    ctx.body = { kvHandle: await engine.exportKv(ctx.params.id!, toAddress) }
  })
  router.get('/load', async (ctx) => { ctx.body = await engine.load() })
  router.get('/orders', async (ctx) => { ctx.body = { order: await engine.orders() } })
  router.put('/orders', async (ctx) => {
    await engine.order(await readJson(ctx.req) as EngineOrder)
    ctx.body = {}
  })
  return await serve(createApplication(router, onFailure))
}

/** Serves one plain service over HTTP. */
export async function serveService (service: StandInService): Promise<RunningServer> {
  const router = new Router()
  router.post('/call', async (ctx) => {
    const { input } = await readJson(ctx.req) as { input: string }
    ctx.body = { answer: await service.call({ requestId: ctx.get('x-request-id'), input, timeoutMs: 0 }) }
  })
  return await serve(createApplication(router, onFailure))
}

function onFailure (ctx: Context, err: unknown): void {
  ctx.respond = false
  sendError(ctx.res, err)
}

function sendStream (ctx: Context, open: (sink: StreamSink) => { detach (): void }): void {
  ctx.respond = false
  const { res } = ctx
  const ensureHeaders = () => {
    if (!res.headersSent) res.writeHead(200, { 'content-type': 'text/event-stream' })
  }
  const send = (event: string, data: unknown) => {
    ensureHeaders()
    res.write(`event: ${event}\ndata: ${JSON.stringify(data)}\n\n`)
  }
  const attachment = open({
    onChunk: (offset, tokens) => send('chunk', { offset, tokens }),
    onLoad: (load) => send('load', load),
    onEnd: (total) => {
      send('end', { total })
      res.end()
    },
    onError: (err) => {
      if (res.headersSent) res.destroy()
      else sendError(res, err)
    }
  })
  res.on('close', () => attachment.detach())
}

/** Maps an error to a response: a refusal reports that nothing ran, an unreachable or unresponsive endpoint closes the connection. */
function sendError (res: ServerResponse, err: unknown): void {
  const point = err instanceof AttemptError ? err.point : 'endpoint-error'
  if (point === 'endpoint-said-not-run' || point === 'endpoint-leaving') {
    res.writeHead(503, { 'x-outcome': point === 'endpoint-leaving' ? 'leaving' : 'not-run' }).end()
  } else if (point === 'endpoint-error') {
    res.writeHead(500).end()
  } else {
    res.destroy()
  }
}
