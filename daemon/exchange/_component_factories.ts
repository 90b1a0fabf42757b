/** Builds the components of a proxy daemon that need more than their options. */
import { RouteTable, UrgencyClassifier, type Catalog } from '../../core/catalog/index.ts'
import { type DaemonId, type EndpointId, type PoolName } from '../../core/ids/index.ts'
import { WindowBudget, type RetryLimiter } from '../../core/retry/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { ConfigFollower } from '../config/config_follower.ts'
import { EndpointFollower } from '../endpoints/endpoint_follower.ts'
import { FleetSize } from '../peers/fleet_size.ts'
import { ProcessAvailability, RolloutFollower, RolloutTask, VersionGate } from '../rollout/index.ts'
import { buildStatus, type StatusReport } from '../status.ts'
import { type CatalogIndex } from './intake.ts'
import type { ProxyComponents } from './_proxy_components.ts'

/** Components that roll out endpoint versions; built only if the settings enable rollouts. */
export interface RolloutComponents { follower: RolloutFollower, gate: VersionGate, task: RolloutTask }

/** Fraction of the allowed retries that daemons use; the rest covers a restarted daemon, whose lost count the others learn of too late. */
const RETRY_BUDGET_FRACTION = 0.8
/** Fraction of its retry share that a daemon starts with, because it may have spent the rest before a restart. */
const INITIAL_RETRY_FRACTION = 0.25
/** Fraction of an endpoint's connections that all daemons use together, so that a daemon that has just restarted finds some free. */
const CONNECTION_FRACTION = 0.8

/** Returns true if a daemon is known to be in another region. */
export function isInOtherRegion (peer: DaemonId, { membership, topology }: ProxyComponents): boolean {
  const member = membership.core.member(peer)
  return member !== undefined && !topology.isLocal(member.failureDomain)
}

/** Reports the state of a daemon. */
export function proxyStatus ({ self, server, config, dispatcher, table, membership, metrics, memory, quarantine, rollouts }: ProxyComponents): Promise<StatusReport> {
  memory.report()
  const inForce = config.inForce
  const classes = new Map(inForce?.routes.map(({ cls }) => [cls.name, cls]))
  return buildStatus({ self, open: server.open, revision: inForce?.revision ?? 0, revisionSure: config.sure, classes: [...classes.values()], dispatcher, table, membership, metrics, quarantine, rollouts: rollouts?.follower.records.values() })
}

/** Builds the follower of the configuration. */
export function configFollower ({ self, platform, relay, membership, metrics, hash, random }: ProxyComponents): ConfigFollower<Catalog> {
  return new ConfigFollower({
    self,
    store: relay.source(platform.configKey),
    key: platform.configKey,
    decode: (value) => platform.decodeCatalog(JSON.parse(value)),
    membership,
    metrics,
    hash,
    random,
    waitMs: relay.watchWaitMs,
    watchersPerDomain: Infinity,
    // Operators write to the store directly and query no daemon. Publishing each revision would cost every daemon a member record and a log
    // line for every other daemon.
    publishesRevision: false
  })
}

/** Builds the follower of the registry. */
export function endpointFollower ({ settings, platform, relay, table, random, config, client, dispatcher, poolHistory, streamVersions }: ProxyComponents): EndpointFollower {
  return new EndpointFollower({
    store: relay.source(platform.registryPrefix),
    prefix: platform.registryPrefix,
    decode: (name, value) => platform.decodeEndpoint(name, value),
    table,
    times: settings.registry,
    waitMs: relay.watchWaitMs,
    random,
    pool: (name) => config.inForce?.pools.get(name),
    onChange: () => {
      client.keepOnly(new Set<EndpointId>(table.all.map((view) => view.id)))
      poolHistory.endpointsChanged(table.all)
      streamVersions.endpointsChanged(table.all)
      dispatcher.startQueued()
    },
    onLost: () => streamVersions.certaintyLost()
  })
}

/** Builds what rolls out versions; undefined if the platform rolls out none. */
export function rolloutComponents ({ self, settings, platform, relay, membership, random, table, tallies, links, lease, hash, metrics }: ProxyComponents): RolloutComponents | undefined {
  const { rollouts: exposure } = settings
  if (!exposure) return undefined
  const port = platform.rollouts
  const follower = new RolloutFollower({ store: relay.source(port.prefix), port, membership, random, waitMs: relay.watchWaitMs })
  const gate = new VersionGate({ table, rollouts: follower, tallies, links, hash, metrics, availability: new ProcessAvailability() })
  const task = new RolloutTask({ self, port, rollouts: follower, gate, lease, table, tallies, links, daemons: () => membership.acceptingWork.map(({ id }) => id), exposure, propagationMs: settings.registry.leavingMs, random })
  return { follower, gate, task }
}

/** Returns this daemon's share of the connections that an endpoint accepts, so that all daemons together stay below its limit. */
export function connectionsTo (view: EndpointView, config: ConfigFollower<Catalog>, fleet: FleetSize): number {
  const accepted = config.inForce?.pools.get(view.pool)?.maxConnections ?? 0
  return Math.max(1, Math.floor(accepted * CONNECTION_FRACTION / fleet.hostCount))
}

/** Gives each pool a retry budget that is this daemon's own share, so that a restart or a partition cannot raise the total by much. */
export function retryBudgets ({ settings, fleet }: ProxyComponents): (pool: PoolName) => RetryLimiter {
  const budgets = new Map<PoolName, RetryLimiter>()
  return (pool) => {
    let budget = budgets.get(pool)
    if (!budget) {
      budget = new WindowBudget({
        windowMs: settings.repeats.windowMs,
        fraction: () => settings.repeats.ratio * RETRY_BUDGET_FRACTION,
        extraRetries: () => settings.repeats.extraRetries * RETRY_BUDGET_FRACTION / fleet.hostCount,
        initialExtraFraction: INITIAL_RETRY_FRACTION
      })
      budgets.set(pool, budget)
    }
    return budget
  }
}

/** Returns the catalog in force, indexed for lookup. */
export function catalogIndex (config: ConfigFollower<Catalog>): () => CatalogIndex | undefined {
  let index: CatalogIndex | undefined
  config.onChange(({ routes, accounts, pools }) => { index = { routes: new RouteTable(routes), urgency: new UrgencyClassifier(routes), accounts, pools } })
  return () => index
}
