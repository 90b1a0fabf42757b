/** Keeps the newest accepted configuration in force on this daemon and accepts changes to it. */
import { randomUUID } from 'node:crypto'
import {
  configSchema, diff, InvalidError, newest, nextAccepted, validate,
  type Accepted, type Config, type FieldChange
} from '../../core/config/index.ts'
import type { DaemonId } from '../../core/ids/index.ts'
import { delay } from '../../core/time/index.ts'
import type { Hash32 } from '../../core/routing/index.ts'
import { isStoreFailure, StoreError, writeSurely, type Marked, type ObjectStore, type StoredObject } from '../../store/index.ts'
import type { AuditTrail } from './audit.ts'
import { logOf } from '../log.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { Metrics } from '../metrics.ts'

/** Options of {@linkcode ConfigTask}. */
export interface ConfigTaskOptions {
  self: DaemonId
  store: ObjectStore
  audit: AuditTrail
  membership: MembershipTask
  metrics: Metrics
  hash: Hash32
  random: () => number
}

/** Another operator's change came first. */
export class ConfigConflictError extends Error {
  override name = 'ConfigConflictError'
  readonly revision: number
  /** From the other operator's configuration to the one refused. */
  readonly difference: FieldChange[]

  constructor (current: Accepted | undefined, wanted: Config) {
    const last = current?.changes.at(-1)
    super(`Cannot apply configuration: revision ${current?.revision ?? 0} by ${last?.operator ?? 'nobody'} came first`)
    this.revision = current?.revision ?? 0
    this.difference = diff(current?.config ?? {}, wanted)
  }
}

/** The store did not say whether the change was accepted. */
export class ConfigUnsureError extends Error {
  override name = 'ConfigUnsureError'
}

/** How far a revision has come. */
export interface InForce { revision: number, daemons: number, of: number }

const KEY = 'config/current'
const FACT = 'config'
const WATCH_MS = 25_000
const WATCHERS_PER_DOMAIN = 2
const POLL_MS = 60_000
const RETRY_MS = 500
const SURE_FOR_MS = 150_000
const log = logOf('config')

/** Owns the configuration in force. */
export class ConfigTask {
  readonly #options: ConfigTaskOptions
  readonly #listeners: Array<(accepted: Accepted) => void> = []
  #accepted: Accepted | undefined
  #confirmedAtMs = 0
  #auditedTo = 0
  #stopped = false

  constructor (options: ConfigTaskOptions) {
    this.#options = options
    options.membership.onFact((fact, from) => { if (fact.key === FACT) this.#heard(fact.version, from) })
    options.membership.links.handle('config', async () => this.#accepted)
  }

  /** The configuration in force, once one is known. */
  get inForce (): Accepted | undefined { return this.#accepted }

  /** True while the store confirmed lately that no newer revision exists. */
  get sure (): boolean { return Date.now() - this.#confirmedAtMs < SURE_FOR_MS }

  /** Registers a listener for each new revision. */
  onChange (listener: (accepted: Accepted) => void): void {
    this.#listeners.push(listener)
  }

  /** Reads the configuration and keeps following it. */
  start (): void {
    this.#follow()
  }

  /** Stops following. */
  stop (): void {
    this.#stopped = true
  }

  /**
   * Accepts a change by one conditional update.
   * @param options.base Revision that the operator saw; a newer one refuses the change.
   * @throws {InvalidError} When the configuration is wrong; nothing was changed.
   * @throws {ConfigConflictError} When another change came first; nothing was changed.
   * @throws {ConfigUnsureError} When the store cannot be read back.
   */
  async apply (value: unknown, options: { operator: string, base?: number }): Promise<Accepted> {
    const id = randomUUID()
    try {
      const config = validate(configSchema, value, 'configuration')
      return await this.#accept(config, { id, ...options })
    } catch (err) {
      await this.#auditFailure(err, { id, operator: options.operator, value })
      throw err
    }
  }

  /** How many daemons have a revision in force, by what they told. */
  reach (revision: number): InForce {
    const alive = this.#options.membership.core.members.filter((member) => member.state === 'up' || member.state === 'draining')
    return { revision, daemons: alive.filter((member) => member.revision >= revision).length, of: alive.length }
  }

  async #accept (config: Config, options: { id: string, operator: string, base?: number }): Promise<Accepted> {
    const found = await this.#options.store.get(KEY)
    const current = found && dataOf(found)
    if (options.base !== undefined && options.base !== (current?.revision ?? 0)) throw new ConfigConflictError(current, config)
    const { id, operator } = options
    const next = nextAccepted(current, config, { id, operator, atMs: Date.now() })
    const result = await this.#write(next, { id, version: found?.version ?? 0 })
    if (!result.applied) {
      this.#adopt(result.data)
      throw new ConfigConflictError(result.data, config)
    }
    this.#confirmedAtMs = Date.now()
    this.#adopt(next)
    this.#audit()
    return next
  }

  async #write (next: Accepted, options: { id: string, version: number }) {
    try {
      return await writeSurely(this.#options.store, KEY, { writeId: options.id, data: next, version: options.version })
    } catch (err) {
      if (isStoreFailure(err, 'unsure')) throw new ConfigUnsureError('Cannot tell whether the configuration was accepted: the store does not answer; see `config show` later', { cause: err })
      throw err
    }
  }

  async #auditFailure (err: unknown, attempt: { id: string, operator: string, value: unknown }): Promise<void> {
    const kind = err instanceof ConfigUnsureError ? 'config-unsure' : 'config-refused'
    const what = { reason: (err as Error).message, ...(err instanceof InvalidError && { problems: err.problems }) }
    await this.#options.audit.write({ kind, id: attempt.id, who: attempt.operator, atMs: Date.now(), fromRevision: this.#accepted?.revision ?? 0, what })
  }

  /** Puts a configuration in force if it is newer than the one that is. */
  #adopt (arrived: Accepted | undefined): void {
    const chosen = newest(this.#accepted, arrived)
    if (!chosen || chosen === this.#accepted) return
    this.#accepted = chosen
    log('in force', { revision: chosen.revision })
    this.#options.metrics.revision.set(chosen.revision)
    for (const listener of this.#listeners) listener(chosen)
    this.#options.membership.tell({ key: FACT, version: chosen.revision, value: null })
    this.#options.membership.setSelf({ revision: chosen.revision })
  }

  /** A daemon told of a newer revision: it has it, so ask it first and spare the store. */
  async #heard (revision: number, from: DaemonId): Promise<void> {
    if (revision <= (this.#accepted?.revision ?? 0)) return
    const teller = this.#options.membership.core.member(from)
    const told = teller && await this.#options.membership.links.call(teller, 'config', null).catch(() => undefined) as Accepted | undefined
    this.#adopt(told)
    if ((this.#accepted?.revision ?? 0) < revision) await this.#read().catch(ignoreStoreErrors)
  }

  async #follow (): Promise<void> {
    let seen: number | undefined
    while (!this.#stopped) {
      try {
        // Before the first configuration there is nothing to read: a loop that only read would spend the budget on nothing.
        seen = seen !== undefined && this.#watches ? await this.#watch(seen) : await this.#read()
        this.#options.metrics.revisionSure.set(1)
        if (!this.#watches) await delay(POLL_MS * (0.75 + this.#options.random() / 2))
      } catch (err) {
        ignoreStoreErrors(err)
        seen = undefined
        this.#options.metrics.revisionSure.set(this.sure ? 1 : 0)
        await delay(RETRY_MS * (1 + this.#options.random()))
      }
    }
  }

  /** Few daemons watch, since each waiting watch counts as a call; the others hear it from them and poll rarely. */
  get #watches (): boolean {
    const { self, hash, membership } = this.#options
    const domain = membership.core.self.failureDomain
    const peers = membership.working.filter((member) => member.failureDomain === domain)
    const ahead = peers.filter((member) => hash(`watch/${member.id}`) > hash(`watch/${self}`))
    return ahead.length < WATCHERS_PER_DOMAIN
  }

  async #read (): Promise<number> {
    const found = await this.#options.store.get(KEY)
    this.#confirmedAtMs = Date.now()
    if (found) this.#adopt(dataOf(found))
    this.#audit()
    return found?.version ?? 0
  }

  async #watch (version: number): Promise<number> {
    const { objects, version: seen } = await this.#options.store.changes(KEY, { after: version, waitMs: WATCH_MS })
    this.#confirmedAtMs = Date.now()
    for (const object of objects) this.#adopt(dataOf(object))
    this.#audit()
    // A watch event that was lost would leave this daemon behind for ever: an empty answer is checked by a read.
    return objects.length > 0 ? seen : await this.#read()
  }

  #audit (): void {
    const changes = this.#accepted?.changes.filter((change) => change.toRevision > this.#auditedTo) ?? []
    if (changes.length === 0 || !this.#watches) return
    this.#auditedTo = changes.at(-1)!.toRevision
    this.#options.audit.repair(changes)
  }
}

function dataOf (object: StoredObject): Accepted {
  return (JSON.parse(object.value) as Marked<Accepted>).data
}

/** A store that is down is no reason to stop: the last known configuration stays in force. */
function ignoreStoreErrors (err: unknown): void {
  if (!(err instanceof StoreError)) throw err
}
