/** HTTP server for the platform's object API. */
import Router from '@koa/router'
import { fromOrdinal } from '../core/store_version/index.ts'
import { isStoreFailure, type ObjectStore } from '../store/index.ts'
import { createApplication, readText, serve, type RunningServer } from './_serve.ts'

const STATUS = { conflict: 412, 'not-applied': 503, unsure: 500, 'history-gone': 410 } as const

/** Serves a store over the HTTP interface of the platform. */
export async function serveObjectApi (store: ObjectStore, port = 0): Promise<RunningServer> {
  const router = new Router()
  router.get('/objects', async (ctx) => {
    const { prefix, after, limit } = ctx.query as Record<string, string>
    ctx.body = await store.list(prefix ?? '', { after, limit: Number(limit ?? 1000) })
  })
  router.get('/objects/:key', async (ctx) => {
    const object = await store.get(ctx.params.key!)
    if (object) ctx.body = object
  })
  router.put('/objects/:key', async (ctx) => {
    const value = await readText(ctx.req)
    const key = ctx.params.key!
    const match = ctx.get('if-match')
    ctx.body = { version: match ? await store.update(key, value, fromOrdinal(Number(match.replaceAll('"', '')))) : await store.create(key, value) }
  })
  router.delete('/objects/:key', async (ctx) => {
    const version = fromOrdinal(Number(ctx.get('if-match').replaceAll('"', '')))
    await store.remove(ctx.params.key!, version)
    ctx.body = { version }
  })
  router.get('/changes', async (ctx) => {
    const { prefix, after, waitMs } = ctx.query as Record<string, string>
    ctx.body = await store.changes(prefix ?? '', { after: fromOrdinal(Number(after)), waitMs: Number(waitMs) })
  })
  const app = createApplication(router, (ctx, err) => {
    const failure = (['conflict', 'not-applied', 'unsure', 'history-gone'] as const).find((kind) => isStoreFailure(err, kind))
    ctx.status = failure ? STATUS[failure] : 400
    ctx.body = { error: (err as Error).message }
  })
  return await serve(app, port)
}
