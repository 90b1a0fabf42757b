/** Client of a plain service over HTTP. */
import { Pool } from 'undici'
import { attemptError, refusalError, refusalSignals } from './_attempt_errors.ts'
import type { PlainService, ServiceCall } from './plain_service.ts'
import { resettingConnector } from './resetting_connector.ts'

const CONNECT_TIMEOUT_MS = 1000

/** HTTP client of one plain service with its own connection pool. */
export class HttpService implements PlainService {
  readonly #pool: Pool

  constructor (options: { url: string, connections?: number }) {
    this.#pool = new Pool(options.url, { connections: options.connections ?? 16, connect: resettingConnector({ timeout: CONNECT_TIMEOUT_MS }) })
  }

  async call (call: ServiceCall): Promise<string> {
    try {
      const res = await this.#pool.request({
        method: 'POST',
        path: '/call',
        headers: { 'content-type': 'application/json', 'x-request-id': call.requestId },
        body: JSON.stringify({ input: call.input }),
        headersTimeout: call.timeoutMs,
        bodyTimeout: call.timeoutMs
      })
      if (res.statusCode !== 200) {
        call.onSignals?.(refusalSignals(res.statusCode, res.headers))
        await res.body.dump()
        throw refusalError('Cannot call service', res.statusCode, res.headers)
      }
      return (await res.body.json() as { answer: string }).answer
    } catch (err) {
      throw attemptError('Cannot call service', err)
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.#pool.destroy()
  }
}
