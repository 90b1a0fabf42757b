/** Follows the configuration in the store and at the other daemons, and keeps the newest revision in force. */
import { newerRevision } from '../../core/config/revision.ts'
import { problemsOf } from '../../core/config/validate.ts'
import type { DaemonId } from '../../core/ids/index.ts'
import type { Hash32 } from '../../core/routing/index.ts'
import { formatVersion } from '../../core/store_version/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { StoreFollower, type ObjectSource } from '../../store/index.ts'
import { log } from '../log/index.ts'
import { reportTaskError } from '../tasks/index.ts'
import type { Metrics } from '../metrics.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import { RevisionExchange } from './revision_exchange.ts'

/** A configuration. Revisions order configurations without relying on clocks. */
export interface HasRevision { readonly revision: number }

/** Options of {@linkcode ConfigFollower}. */
export interface ConfigFollowerOptions<C extends HasRevision> {
  self: DaemonId
  store: ObjectSource
  /** Key of the one object that holds the configuration, such as `config/current`. */
  key: string
  /** Decodes the object's value. Throws {@linkcode InvalidError} if it is not a valid configuration. */
  decode (value: string): C
  membership: MembershipTask
  metrics: Metrics
  hash: Hash32
  random: () => number
  /** Timeout of a watch call, in milliseconds. Default 10,000. */
  waitMs?: number
  /** Number of daemons in a failure domain that watch the store; the others poll it and learn of changes from peers. Default 2. */
  watchersPerDomain?: number
  /**
   * Publish the revision in force in this daemon's member record, so that operators can see how far a change has spread. Each record is sent
   * to every daemon, so a revision costs one message per pair of daemons. Default true.
   */
  publishesRevision?: boolean
}

const DEFAULT_WATCHERS_PER_DOMAIN = 2
const POLL_MS = 60_000
/** Time for which a daemon that starts waits for contact with a peer, in milliseconds. Contact takes less where peers answer, and the balancer checks once a second. */
const CONTACT_WAIT_MS = 500
/** The same, until it knows all that its peers have and has fetched a newer revision. */
const FETCH_WAIT_MS = 1000
/** Time for which the store's last answer counts as confirmation that no newer revision exists, in milliseconds. */
const CONFIRMATION_TTL_MS = 150_000

/**
 * Holds the configuration in force.
 *
 * Watch events and copies from peers may arrive late, duplicated or out of order, so only a higher revision replaces the one in force;
 * otherwise a change could be reverted. While the store is down the configuration stays in force, and a daemon that the store does not
 * serve gets new revisions from its peers.
 */
export class ConfigFollower<C extends HasRevision> {
  readonly #options: ConfigFollowerOptions<C>
  readonly #follower: StoreFollower
  readonly #exchange: RevisionExchange
  readonly #listeners: Array<(config: C) => void> = []
  #inForce: C | undefined
  #resolveKnown: () => void = () => {}
  /** Resolves once a configuration is in force. */
  readonly known = new Promise<void>((resolve) => { this.#resolveKnown = resolve })
  #startedAtMs = Infinity
  /** The configuration in force in its stored encoding, sent to peers that ask for it. */
  #encoded: string | undefined

  constructor (options: ConfigFollowerOptions<C>) {
    this.#options = options
    const { membership, metrics } = options
    this.#exchange = new RevisionExchange({
      membership,
      random: options.random,
      inForce: () => this.#inForce && { revision: this.#inForce.revision, text: this.#encoded! },
      receive: (text, from) => this.#handleValue(text, from)
    })
    this.#follower = new StoreFollower({
      store: options.store,
      prefix: options.key,
      random: options.random,
      ...(options.waitMs !== undefined && { waitMs: options.waitMs }),
      pauseMs: () => (this.watchesStore ? 0 : POLL_MS * (0.75 + options.random() / 2)),
      onChange: (objects) => {
        const object = objects.get(options.key)
        if (object) this.#handleValue(object.value, 'store')
      },
      onOutdated: (object, known) => log('config-outdated', { version: formatVersion(object.version), known: formatVersion(known.version), inForce: this.#inForce?.revision ?? 0 }),
      onError: (err) => reportTaskError('follow-config', err),
      onReachabilityChange: (reached, why) => {
        metrics.revisionSure.set(reached ? 1 : 0)
        if (reached) log('store-back', { what: 'config' })
        else log('store-lost', { what: 'config', why, lastAnswerAgeMs: this.confirmedAgeMs })
      }
    })
  }

  /** The configuration in force; undefined until one is known. */
  get inForce (): C | undefined { return this.#inForce }

  /** Milliseconds since the store last confirmed that no newer revision exists; undefined if it never has. */
  get confirmedAgeMs (): number | undefined {
    const { lastAnswerAtMs } = this.#follower
    return lastAnswerAtMs === -Infinity ? undefined : steadyNow() - lastAnswerAtMs
  }

  /** True if the store has recently confirmed that no newer revision exists. */
  get sure (): boolean { return steadyNow() - this.#follower.lastAnswerAtMs < CONFIRMATION_TTL_MS }

  /**
   * True once the configuration in force is the newest that a reachable daemon has, or this daemon has waited for it since its start. The store may have
   * an older one after a return to a copy, and the first peer that answers may have started at the same time and have no newer one.
   */
  get settled (): boolean {
    const waitedMs = steadyNow() - this.#startedAtMs
    if (this.#inForce === undefined || waitedMs < 0) return false
    if (waitedMs >= FETCH_WAIT_MS) return true
    if (this.#exchange.isMissing) return false
    const { introduced, joined } = this.#options.membership
    return introduced || (!joined && waitedMs >= CONTACT_WAIT_MS)
  }

  /** True if this daemon is one of the few in its failure domain that watch the store. */
  get watchesStore (): boolean {
    const { self, hash, membership } = this.#options
    const domain = membership.core.self.failureDomain
    const peers = membership.acceptingWork.filter((member) => member.failureDomain === domain)
    const ahead = peers.filter((member) => hash(`watch/${member.id}`) > hash(`watch/${self}`))
    return ahead.length < (this.#options.watchersPerDomain ?? DEFAULT_WATCHERS_PER_DOMAIN)
  }

  /** Registers a listener for each new configuration. */
  onChange (listener: (config: C) => void): void {
    this.#listeners.push(listener)
  }

  /** Starts following the configuration. */
  start (): void {
    this.#startedAtMs = steadyNow()
    this.#follower.start()
  }

  /** Stops following the configuration. */
  stop (): void {
    this.#follower.stop()
    this.#exchange.stop()
  }

  /**
   * Puts a configuration in force if it is newer than the current one.
   * @param text The configuration in its stored encoding.
   * @param from Source of the configuration, for the log.
   */
  adopt (text: string, from: string): void {
    this.#putInForce(text, this.#options.decode(text), from)
  }

  #putInForce (text: string, config: C, from: string): void {
    if (newerRevision(this.#inForce, config) !== config) return
    const before = this.#inForce?.revision ?? 0
    this.#inForce = config
    this.#encoded = text
    log('config-in-force', { revision: config.revision, before, from, era: this.#options.store.era.current, announcedAgeMs: this.#exchange.announcedAgeMs(config.revision) })
    this.#options.metrics.revision.set(config.revision)
    for (const listener of this.#listeners) listener(config)
    this.#resolveKnown()
    this.#exchange.publish()
    if (this.#options.publishesRevision ?? true) this.#options.membership.setSelf({ revision: config.revision })
  }

  /** Returns false if the configuration cannot be decoded. */
  #handleValue (text: string, from: string): boolean {
    const config = this.#decode(text)
    if (config) this.#putInForce(text, config, from)
    return config !== undefined
  }

  /**
   * Decodes a configuration; logs and ignores one that cannot be decoded.
   *
   * All daemons read the same value, so any error, even one of the decoder itself, would otherwise crash every daemon, again after each
   * restart.
   */
  #decode (text: string): C | undefined {
    try {
      return this.#options.decode(text)
    } catch (err) {
      log('config-refused', { problems: problemsOf(err), inForce: this.#inForce?.revision ?? 0 })
      return undefined
    }
  }
}
