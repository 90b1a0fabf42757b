/** Client of the platform's object API over HTTP. */
import { request, type Dispatcher } from 'undici'
import { NO_VERSION, ordinalOf, type StoreVersion } from '../core/store_version/index.ts'
import { EraTracker } from './era_tracker.ts'
import { StoreError, type Changes, type ObjectStore, type Snapshot, type StoredObject } from './object_store.ts'

/** Options of {@linkcode HttpStore}. */
export interface HttpStoreOptions {
  /** Base address, such as `http://10.0.0.1:7000`. */
  url: string
  /** Timeout of one call in milliseconds, in addition to the wait time of a watch. Default 3,000. */
  timeoutMs?: number
}

/** HTTP client of the object API. Conditional writes use `If-Match` and `If-None-Match`. */
export class HttpStore implements ObjectStore {
  /** This API sends no era. */
  readonly era = new EraTracker()
  readonly #url: string
  readonly #timeoutMs: number

  constructor (options: HttpStoreOptions) {
    this.#url = options.url
    this.#timeoutMs = options.timeoutMs ?? 3000
  }

  async get (key: string): Promise<StoredObject | undefined> {
    const res = await this.#send('GET', `/objects/${encodeURIComponent(key)}`)
    if (res.statusCode === 404) {
      await res.body.dump()
      return undefined
    }
    return await this.#json(res) as StoredObject
  }

  async list (prefix: string, options: { after?: string, limit?: number } = {}): Promise<StoredObject[]> {
    const query = new URLSearchParams({ prefix, after: options.after ?? '', limit: String(options.limit ?? 1000) })
    return await this.#json(await this.#send('GET', `/objects?${query}`)) as StoredObject[]
  }

  async snapshot (prefix: string): Promise<Snapshot> {
    return await this.changes(prefix, { after: NO_VERSION, waitMs: 0 })
  }

  async create (key: string, value: string): Promise<StoreVersion> {
    return await this.#write('PUT', key, { 'if-none-match': '*' }, value)
  }

  async update (key: string, value: string, version: StoreVersion): Promise<StoreVersion> {
    return await this.#write('PUT', key, { 'if-match': `"${ordinalOf(version)}"` }, value)
  }

  async remove (key: string, version: StoreVersion): Promise<void> {
    await this.#write('DELETE', key, { 'if-match': `"${ordinalOf(version)}"` })
  }

  async changes (prefix: string, options: { after: StoreVersion, waitMs: number }): Promise<Changes> {
    const query = new URLSearchParams({ prefix, after: String(ordinalOf(options.after)), waitMs: String(options.waitMs) })
    return await this.#json(await this.#send('GET', `/changes?${query}`, { waitMs: options.waitMs })) as Changes
  }

  async #write (method: 'PUT' | 'DELETE', key: string, headers: Record<string, string>, value?: string): Promise<StoreVersion> {
    const res = await this.#send(method, `/objects/${encodeURIComponent(key)}`, { headers, body: value })
    if (res.statusCode === 412) {
      await res.body.dump()
      throw new StoreError(`Cannot write ${key}: version moved`, { failure: 'conflict' })
    }
    return (await this.#json(res) as { version: StoreVersion }).version
  }

  async #send (method: 'GET' | 'PUT' | 'DELETE', path: string, options: { headers?: Record<string, string>, body?: string, waitMs?: number } = {}) {
    const timeoutMs = this.#timeoutMs + (options.waitMs ?? 0)
    try {
      const res = await request(this.#url + path, { method, headers: options.headers, body: options.body ?? null, headersTimeout: timeoutMs, bodyTimeout: timeoutMs })
      if (res.statusCode !== 410 && res.statusCode !== 429 && res.statusCode < 500) return res
      await res.body.dump()
      if (res.statusCode === 410) throw new StoreError(`Cannot ${method} ${path}: its history is gone`, { failure: 'history-gone' })
      // Only 429 and 503 guarantee that nothing was applied.
      const refused = res.statusCode === 429 || res.statusCode === 503
      throw new StoreError(`Cannot ${method} ${path}: status ${res.statusCode}`, { failure: refused ? 'not-applied' : 'unsure' })
    } catch (err) {
      if (err instanceof StoreError) throw err
      const refused = (err as NodeJS.ErrnoException).code === 'ECONNREFUSED'
      throw new StoreError(`Cannot ${method} ${path}: ${(err as Error).message}`, { failure: refused ? 'not-applied' : 'unsure', cause: err })
    }
  }

  async #json (res: Dispatcher.ResponseData): Promise<unknown> {
    try {
      return await res.body.json()
    } catch (err) {
      throw new StoreError('Cannot read the answer: it was cut', { failure: 'unsure', cause: err })
    }
  }
}
