/** Client of the platform's cloud API over HTTP. */
import { request } from 'undici'
import type { HostId } from '../core/ids/index.ts'
import { CloudError, type Cloud, type CloudOffer, type HostSpec, type ListedHost, type ReclaimNotice } from './cloud.ts'

const TIMEOUT_MS = 3000

/** HTTP client of the cloud API. */
export class HttpCloud implements Cloud {
  readonly #url: string

  constructor (options: { url: string }) {
    this.#url = options.url
  }

  async hosts (): Promise<ListedHost[]> {
    return await this.#call('GET', '/hosts') as ListedHost[]
  }

  async offers (): Promise<CloudOffer[]> {
    return await this.#call('GET', '/offers') as CloudOffer[]
  }

  async notices (after: number, waitMs: number): Promise<ReclaimNotice[]> {
    return await this.#call('GET', `/notices?after=${after}&waitMs=${waitMs}`, { waitMs }) as ReclaimNotice[]
  }

  async start (wanted: HostSpec): Promise<HostId> {
    return (await this.#call('POST', '/hosts', { body: wanted }) as { hostId: HostId }).hostId
  }

  async stop (host: HostId): Promise<void> {
    await this.#call('DELETE', `/hosts/${encodeURIComponent(host)}`)
  }

  async #call (method: 'GET' | 'POST' | 'DELETE', path: string, options: { body?: unknown, waitMs?: number } = {}): Promise<unknown> {
    const timeoutMs = TIMEOUT_MS + (options.waitMs ?? 0)
    const body = options.body === undefined ? null : JSON.stringify(options.body)
    try {
      const res = await request(this.#url + path, { method, headers: body === null ? {} : { 'content-type': 'application/json' }, body, headersTimeout: timeoutMs, bodyTimeout: timeoutMs })
      if (res.statusCode < 300) return await res.body.json()
      await res.body.dump()
      throw new CloudError(`Cannot ${method} ${path}: status ${res.statusCode}`, { refused: res.statusCode === 409 })
    } catch (err) {
      if (err instanceof CloudError) throw err
      throw new CloudError(`Cannot ${method} ${path}: ${(err as Error).message}`, { refused: false, cause: err })
    }
  }
}
