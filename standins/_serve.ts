/** Helpers that serve Koa applications on the loopback interface. */
import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type Router from '@koa/router'
import Koa, { type Context } from 'koa'

/** A running HTTP server. */
export interface RunningServer { url: string, close (): Promise<void> }

/** Writes the response when the stand-in behind a route throws. */
export type OnFailure = (ctx: Context, err: unknown) => void

/** Creates an application from routes, with one error handler for all of them. */
export function createApplication (router: Router, onFailure: OnFailure): Koa {
  const app = new Koa()
  app.silent = true
  app.use(async (ctx, next) => {
    try {
      await next()
    } catch (err) {
      onFailure(ctx, err)
    }
  })
  app.use(router.routes())
  return app
}

/** Starts the application on a port (0 selects a free one). The caller must close the server. */
export async function serve (app: Koa, port = 0): Promise<RunningServer> {
  const server: Server = createServer(app.callback())
  await new Promise<void>((resolve) => server.listen(port, '127.0.0.1', resolve))
  const address = server.address() as AddressInfo
  return {
    url: `http://127.0.0.1:${address.port}`,
    close: () => new Promise((resolve) => {
      server.closeAllConnections()
      server.close(() => resolve())
    })
  }
}

/** Reads the complete request body as text. */
export async function readText (req: IncomingMessage): Promise<string> {
  req.setEncoding('utf8')
  let text = ''
  for await (const part of req) text += part as string
  return text
}

/** Reads and parses a JSON request body. */
export async function readJson (req: IncomingMessage): Promise<unknown> {
  return JSON.parse(await readText(req))
}
