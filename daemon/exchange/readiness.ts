/** Readiness endpoint for the balancer's health checks. */
import { createServer, type Server } from 'node:http'
import type { SocketAddress } from './proxy_settings.ts'

const READY = 200
const NOT_READY = 503

/** Answers every request with 200 if the daemon is ready, otherwise with 503. */
export class ReadinessServer {
  readonly #server: Server

  #ready: () => boolean = () => false

  constructor () {
    this.#server = createServer((_req, res) => {
      res.writeHead(this.#ready() ? READY : NOT_READY).end()
    })
  }

  /** Resolves once the server listens; `ready` is called for each request. */
  async listen ({ host, port }: SocketAddress, ready: () => boolean): Promise<void> {
    this.#ready = ready
    await new Promise<void>((resolve, reject) => this.#server.once('error', reject).listen(port, host, resolve))
  }

  /** Stops the server and closes its connections. */
  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
