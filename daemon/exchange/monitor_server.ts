/** HTTP server for monitoring and operators, on an address that callers cannot reach. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { as, type Fingerprint, type Suspect } from '../../core/ids/index.ts'
import type { Metrics } from '../metrics.ts'
import type { QuarantineTask } from '../quarantine/index.ts'
import type { StatusReport } from '../status.ts'
import type { SocketAddress } from './proxy_settings.ts'

/** Options of {@linkcode MonitorServer}. */
export interface MonitorServerOptions {
  metrics: Metrics
  status (): Promise<StatusReport>
  quarantine: Pick<QuarantineTask, 'release'>
}

const RELEASE_PATH = /^\/quarantine\/([^/]+)\/release$/

/**
 * Serves `GET /metrics` in the Prometheus text format and `GET /status` as JSON; `POST /quarantine/FINGERPRINT-OR-PART/release` releases
 * what is quarantined.
 */
export class MonitorServer {
  readonly #options: MonitorServerOptions
  readonly #server: Server

  constructor (options: MonitorServerOptions) {
    this.#options = options
    this.#server = createServer((req, res) => { this.#answer(req, res) })
  }

  /** Resolves once the server listens. */
  async listen ({ host, port }: SocketAddress): Promise<void> {
    await new Promise<void>((resolve, reject) => this.#server.once('error', reject).listen(port, host, resolve))
  }

  /** Stops the server and closes its connections. */
  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  async #answer (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { metrics, status } = this.#options
    if (req.url === '/metrics') {
      // Building the status report sets the gauges that are computed only on demand.
      await status()
      res.writeHead(200, { 'content-type': metrics.registry.contentType }).end(await metrics.registry.metrics())
    } else if (req.url === '/status') {
      res.writeHead(200, { 'content-type': 'application/json' }).end(JSON.stringify(await status()))
    } else if (req.method === 'POST' && RELEASE_PATH.test(req.url ?? '')) {
      this.#release(decodeSuspect(RELEASE_PATH.exec(req.url!)![1]!), req, res)
    } else {
      res.writeHead(404, { 'content-type': 'text/plain' }).end('Cannot answer: there are /metrics and /status\n')
    }
  }

  #release (suspect: Suspect, req: IncomingMessage, res: ServerResponse): void {
    const found = this.#options.quarantine.release(suspect, req.socket.remoteAddress ?? 'unknown')
    const body = found ? { released: suspect } : { detail: 'no such request or prompt part is quarantined' }
    res.writeHead(found ? 200 : 404, { 'content-type': 'application/json' }).end(JSON.stringify(body))
  }
}

/** Returns the suspect that a path names; one that cannot be decoded names none. */
function decodeSuspect (encoded: string): Suspect {
  try {
    return as<Fingerprint>(decodeURIComponent(encoded))
  } catch {
    return as<Fingerprint>(encoded)
  }
}
