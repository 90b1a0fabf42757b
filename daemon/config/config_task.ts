/** Keeps the newest accepted configuration in force on this daemon and accepts operators' changes to it. */
import { randomUUID } from 'node:crypto'
import {
  configSchema, diff, InvalidError, nextRevision, validate,
  type AcceptedConfig, type Config, type FieldChange
} from '../../core/config/index.ts'
import type { DaemonId } from '../../core/ids/index.ts'
import type { Hash32 } from '../../core/routing/index.ts'
import { NO_VERSION, type StoreVersion } from '../../core/store_version/index.ts'
import { isStoreFailure, writeAndVerify, type TaggedValue, type ObjectStore, type StoredObject } from '../../store/index.ts'
import type { AuditTrail } from './audit.ts'
import { ConfigFollower } from './config_follower.ts'
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

/** Thrown if another operator's change was accepted first. */
export class ConfigConflictError extends Error {
  override name = 'ConfigConflictError'
  readonly revision: number
  /** Changes from the other operator's configuration to the refused one. */
  readonly difference: FieldChange[]

  constructor (current: AcceptedConfig | undefined, wanted: Config) {
    const last = current?.changes.at(-1)
    super(`Cannot apply configuration: revision ${current?.revision ?? 0} by ${last?.operator ?? 'nobody'} came first`)
    this.revision = current?.revision ?? 0
    this.difference = diff(current?.config ?? {}, wanted)
  }
}

/** Thrown if the store's answers do not show whether the change was accepted. */
export class ConfigUnsureError extends Error {
  override name = 'ConfigUnsureError'
}

/** How many of the live daemons (`of`) have a revision in force (`daemons`). */
export interface RevisionReach { revision: number, daemons: number, of: number }

const CONFIG_KEY = 'config/current'

/** Follows the stored configuration and applies changes by conditional updates. */
export class ConfigTask {
  readonly #options: ConfigTaskOptions
  readonly #follower: ConfigFollower<AcceptedConfig>
  #auditedRevision = 0

  constructor (options: ConfigTaskOptions) {
    this.#options = options
    this.#follower = new ConfigFollower({ ...options, key: CONFIG_KEY, decode: (value) => (JSON.parse(value) as TaggedValue<AcceptedConfig>).data })
    this.#follower.onChange(() => this.#auditChanges())
  }

  /** The configuration in force; undefined until one is known. */
  get inForce (): AcceptedConfig | undefined { return this.#follower.inForce }

  /** True if the store has recently confirmed that no newer revision exists. */
  get sure (): boolean { return this.#follower.sure }

  /** Registers a listener for each new revision. */
  onChange (listener: (accepted: AcceptedConfig) => void): void {
    this.#follower.onChange(listener)
  }

  /** Starts following the configuration. */
  start (): void {
    this.#follower.start()
  }

  /** Stops following the configuration. */
  stop (): void {
    this.#follower.stop()
  }

  /**
   * Applies a change with one conditional update.
   * @param options.base Revision that the operator edited; the change is refused if it is not the current one.
   * @throws {InvalidError} If the configuration is invalid; nothing was changed.
   * @throws {ConfigConflictError} If another change was accepted first; nothing was changed.
   * @throws {ConfigUnsureError} If the outcome of the write is unknown because the store cannot be read back.
   */
  async apply (value: unknown, options: { operator: string, base?: number }): Promise<AcceptedConfig> {
    const id = randomUUID()
    try {
      const config = validate(configSchema, value, 'configuration')
      return await this.#accept(config, { id, ...options })
    } catch (err) {
      await this.#auditFailure(err, { id, operator: options.operator, value })
      throw err
    }
  }

  /** Counts the daemons that have published the revision, or a newer one, as in force. */
  reach (revision: number): RevisionReach {
    const alive = this.#options.membership.core.members.filter((member) => member.state === 'up' || member.state === 'draining')
    return { revision, daemons: alive.filter((member) => member.revision >= revision).length, of: alive.length }
  }

  async #accept (config: Config, options: { id: string, operator: string, base?: number }): Promise<AcceptedConfig> {
    const found = await this.#options.store.get(CONFIG_KEY)
    const current = found && parseAccepted(found)
    if (options.base !== undefined && options.base !== (current?.revision ?? 0)) throw new ConfigConflictError(current, config)
    const { id, operator } = options
    const next = nextRevision(current, config, { id, operator, atMs: Date.now() })
    const result = await this.#write(next, { id, version: found?.version ?? NO_VERSION })
    if (!result.applied) {
      if (result.found) this.#follower.adopt(result.found.value, 'store')
      throw new ConfigConflictError(result.data, config)
    }
    this.#follower.adopt(JSON.stringify({ writeId: id, data: next } satisfies TaggedValue<AcceptedConfig>), 'operator')
    return next
  }

  async #write (next: AcceptedConfig, options: { id: string, version: StoreVersion }) {
    try {
      return await writeAndVerify(this.#options.store, CONFIG_KEY, { writeId: options.id, data: next, version: options.version })
    } catch (err) {
      if (isStoreFailure(err, 'unsure')) throw new ConfigUnsureError('Cannot tell whether the configuration was accepted: the store does not answer; see `config show` later', { cause: err })
      throw err
    }
  }

  async #auditFailure (err: unknown, attempt: { id: string, operator: string, value: unknown }): Promise<void> {
    const kind = err instanceof ConfigUnsureError ? 'config-unsure' : 'config-refused'
    const what = { reason: (err as Error).message, ...(err instanceof InvalidError && { problems: err.problems }) }
    await this.#options.audit.write({ kind, id: attempt.id, who: attempt.operator, atMs: Date.now(), fromRevision: this.inForce?.revision ?? 0, what })
  }

  /** Writes missing audit records of accepted changes; only daemons that watch the store do so, to avoid duplicate writes. */
  #auditChanges (): void {
    const changes = this.inForce?.changes.filter((change) => change.toRevision > this.#auditedRevision) ?? []
    if (changes.length === 0 || !this.#follower.watchesStore) return
    this.#auditedRevision = changes.at(-1)!.toRevision
    this.#options.audit.restoreMissing(changes)
  }
}

function parseAccepted (object: StoredObject): AcceptedConfig {
  return (JSON.parse(object.value) as TaggedValue<AcceptedConfig>).data
}
