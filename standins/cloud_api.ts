/** HTTP server for the platform's cloud API. */
import Router from '@koa/router'
import { CloudError, type Cloud, type HostSpec } from '../endpoints/index.ts'
import type { HostId } from '../core/ids/index.ts'
import { createApplication, readJson, serve, type RunningServer } from './_serve.ts'

/** Serves a cloud over the HTTP interface of the platform. */
export async function serveCloudApi (cloud: Cloud, port = 0): Promise<RunningServer> {
  const router = new Router()
  router.get('/hosts', async (ctx) => { ctx.body = await cloud.hosts() })
  router.get('/offers', async (ctx) => { ctx.body = await cloud.offers() })
  router.get('/notices', async (ctx) => { ctx.body = await cloud.notices(Number(ctx.query.after), Number(ctx.query.waitMs)) })
  router.post('/hosts', async (ctx) => { ctx.body = { hostId: await cloud.start(await readJson(ctx.req) as HostSpec) } })
  router.delete('/hosts/:id', async (ctx) => {
    await cloud.stop(ctx.params.id as HostId)
    ctx.body = {}
  })
  const app = createApplication(router, (ctx, err) => {
    ctx.status = err instanceof CloudError && err.refused ? 409 : 500
    ctx.body = { error: (err as Error).message }
  })
  return await serve(app, port)
}
