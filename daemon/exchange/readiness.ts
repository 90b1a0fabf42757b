/** Tells the balancer whether it should send callers here. */
import { createServer, type Server } from 'node:http'

/** Options of {@linkcode ReadinessServer}. */
export interface ReadinessServerOptions {
  ready (): boolean
}

const READY = 200
const NOT_READY = 503

/** Answers every question with 200 or 503. */
export class ReadinessServer {
  readonly #server: Server

  constructor (options: ReadinessServerOptions) {
    this.#server = createServer((_req, res) => {
      res.writeHead(options.ready() ? READY : NOT_READY).end()
    })
  }

  /** Listens. */
  async listen (host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => this.#server.once('error', reject).listen(port, host, resolve))
  }

  /** Answers no more. */
  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }
}
