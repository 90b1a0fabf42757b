/** Tells the balancer whether it should send callers here. */
import { createServer, type Server } from 'node:http'
import type { SocketAddress } from './proxy_settings.ts'

const READY = 200
const NOT_READY = 503

/** Answers every question with 200 or 503. */
export class ReadinessServer {
  readonly #server: Server

  #ready: () => boolean = () => false

  constructor () {
    this.#server = createServer((_req, res) => {
      res.writeHead(this.#ready() ? READY : NOT_READY).end()
    })
  }

  /** Listens; `ready` is asked for each answer. */
  async listen ({ host, port }: SocketAddress, ready: () => boolean): Promise<void> {
    this.#ready = ready
    await new Promise<void>((resolve, reject) => this.#server.once('error', reject).listen(port, host, resolve))
  }

  /** Answers no more. */
  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
