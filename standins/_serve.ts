/** Listens with a Koa application on a free loopback port. */
import { createServer, type IncomingMessage, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import type Router from '@koa/router'
import Koa, { type Context } from 'koa'

/** A server that listens. */
export interface Listening { url: string, close (): Promise<void> }

/** What an interface answers when its stand-in throws. */
export type OnFailure = (ctx: Context, err: unknown) => void

/** Builds an application of routes whose failures are answered in one place. */
export function application (router: Router, onFailure: OnFailure): Koa {
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

/** Starts the application on a port, 0 for a free one; the caller closes it. */
export async function serve (app: Koa, port = 0): Promise<Listening> {
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

/** Reads a whole body as text. */
export async function readText (req: IncomingMessage): Promise<string> {
  req.setEncoding('utf8')
  let text = ''
  for await (const part of req) text += part as string
  return text
}

/** Reads a JSON body. */
export async function readJson (req: IncomingMessage): Promise<unknown> {
  return JSON.parse(await readText(req))
}
