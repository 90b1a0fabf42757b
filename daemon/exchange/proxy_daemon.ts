/** A daemon that proxies callers' requests to endpoints: start, drain and stop. */
import { setImmediate } from 'node:timers/promises'
import { isDeepStrictEqual } from 'node:util'
import xxhash from 'xxhash-wasm'
import type { DaemonId } from '../../core/ids/index.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { log } from '../log/index.ts'
import { whenPortIsFree } from './_port_wait.ts'
import { compose, type ProxyComponents } from './_proxy_components.ts'
import type { PlatformAdapter } from './platform_adapter.ts'
import type { ProxySettings } from './proxy_settings.ts'

/** Options of {@linkcode ProxyDaemon.start}. */
export interface ProxyDaemonOptions {
  settings: ProxySettings
  platform: PlatformAdapter
  /** Returns the IP address and port to connect to for an endpoint's address, where they differ. Default: the address itself. */
  endpointAddress?: (address: string) => string
}

/**
 * Time until no new requests arrive after the daemon reports that it is not ready, in milliseconds. The balancer checks once a second and
 * removes a daemon after two failed checks; a connection opened just before may carry its request a moment later.
 */
const READINESS_PROPAGATION_MS = 2600
/** Part of the grace period reserved at its end, after the wait for open requests. */
const END_SHARE = 1 / 8
/** Part of the grace period that is left when the daemon has left the membership; a busy process exits late. */
const EXIT_SHARE = 1 / 12
const DRAIN_POLL_MS = 20
/** Time in which the last write of stream records is tried again when the store refuses it, in milliseconds. */
const HAND_OVER_MS = 2000
/** Settings that can change without a restart, because they are read at each use or applied by {@linkcode ProxyDaemon.reconfigure}. */
const RELOADABLE_SETTINGS: ReadonlySet<keyof ProxySettings> = new Set(['seeds', 'graceMs', 'quota', 'repeats'] as const)

/** A running proxy daemon. */
export class ProxyDaemon {
  readonly #components: ProxyComponents
  #draining: Promise<void> | undefined
  #resolveLeft: () => void = () => {}
  /** Resolves once the daemon has drained and left the membership. */
  readonly left = new Promise<void>((resolve) => { this.#resolveLeft = resolve })

  private constructor (components: ProxyComponents) {
    this.#components = components
  }

  /**
   * Starts a daemon and resolves once it listens for callers; ports that are in use are waited for.
   * @throws {Error} If it cannot listen, or a port is still in use after about a minute.
   */
  static async start (options: ProxyDaemonOptions): Promise<ProxyDaemon> {
    const { h32, h64Raw } = await xxhash()
    const daemon = new ProxyDaemon(compose({ ...options, hash: (text) => h32(text), hash64: h64Raw }))
    await daemon.#start()
    return daemon
  }

  get id (): DaemonId { return this.#components.self }
  /** True while the balancer should route callers to this daemon. */
  get ready (): boolean { return this.#draining === undefined && this.#components.config.settled && this.#components.poolHistory.settled && this.#components.table.all.length > 0 }
  /** Number of endpoints that are not leaving. */
  get endpoints (): number { return this.#components.table.all.filter((view) => view.leavingAtMs === undefined).length }
  /** The daemon that counts account quotas for this one. */
  get quotaKeeper (): DaemonId { return this.#components.limits.keeper ?? this.id }

  /** Drains and stops; later calls return the first call's promise. */
  drain (): Promise<void> {
    this.#draining ??= this.#drain()
    return this.#draining
  }

  /**
   * Applies changed settings without a restart: seeds, grace period, quota tolerance and retry budget.
   * @returns Names of the settings applied, and of changed settings that take effect only after a restart.
   */
  reconfigure (next: ProxySettings): { changed: string[], needRestart: string[] } {
    const { settings, membership, limits } = this.#components
    const changed = (Object.keys(next) as Array<keyof ProxySettings>).filter((key) => !isDeepStrictEqual(next[key], settings[key]))
    const live = changed.filter((key) => RELOADABLE_SETTINGS.has(key))
    for (const key of live) Object.assign(settings, { [key]: next[key] })
    if (live.includes('seeds')) membership.seeds = next.seeds
    if (live.includes('quota')) limits.tolerate(next.quota)
    return { changed: live, needRestart: changed.filter((key) => !RELOADABLE_SETTINGS.has(key)) }
  }

  /** Stops at once without draining, as in a crash. */
  async kill (): Promise<void> {
    const { server, readiness, monitor, lease, usage, orders, rollouts, membership } = this.#components
    lease.stop()
    usage.stop()
    orders.stop()
    rollouts?.task.stop()
    this.#stopTasks()
    server.kill()
    readiness.close()
    monitor.close()
    await membership.stop()
  }

  async #start (): Promise<void> {
    const { settings, membership, tallies, config, poolHistory, registry, server, readiness, lease, limits, endpointLimitTask, loads, usage, orders, rollouts, stalls, quarantine, archive, recordArchive, processor, paths, regionLink, delegateFinder, delegatedRuns, delegateServer, connectionGate, moves, memory, poll } = this.#components
    const { callers, readiness: check } = settings.listen
    archive.restore()
    recordArchive.restore()
    await whenPortIsFree(() => readiness.listen(check, () => this.ready))
    await whenPortIsFree(() => membership.start())
    // The last of the ports, since a daemon that waits for one cannot be drained.
    await whenPortIsFree(() => server.listen(callers.host, callers.port))
    poll.start()
    connectionGate.start()
    memory.start()
    config.start()
    poolHistory.start()
    registry.start()
    rollouts?.follower.start()
    tallies.start()
    limits.start()
    endpointLimitTask.start()
    loads.start()
    lease.start()
    usage.start()
    orders.start()
    rollouts?.task.start()
    stalls.start()
    moves.start()
    paths.start()
    regionLink.start()
    delegateFinder.start()
    delegatedRuns.start()
    delegateServer.start()
    quarantine.start()
    archive.start()
    recordArchive.start()
    processor.start()
    this.#listenForMonitoring()
    log('daemon-started', { id: this.id, settings: settings.name, startMs: steadyNow() })
  }

  /** Callers are served without monitoring as well. */
  #listenForMonitoring (): void {
    const { settings, monitor } = this.#components
    const { monitor: address } = settings
    if (address) whenPortIsFree(() => monitor.listen(address)).catch((err: Error) => log('monitor-not-served', { why: err.message }))
  }

  /**
   * Shuts down gracefully. First reports not ready and closes each connection after its response, since the balancer keeps sending for a
   * while; then accepts no new connections; then waits for open requests until the grace period ends.
   */
  async #drain (): Promise<void> {
    const { settings, server, intake, readiness, monitor, lease, usage, orders, rollouts, membership, delegateServer, connectionGate } = this.#components
    const sinceMs = steadyNow()
    const endsAtMs = sinceMs + settings.graceMs * (1 - END_SHARE)
    const leftByMs = sinceMs + settings.graceMs * (1 - EXIT_SHARE)
    log('daemon-draining', { who: 'signal', open: server.open })
    membership.setSelf({ state: 'draining' })
    connectionGate.stop()
    server.startDraining()
    intake.startDraining({ listensUntilMs: steadyNow() + READINESS_PROPAGATION_MS, endsAtMs })
    delegateServer.startDraining()
    usage.stop()
    orders.stop()
    rollouts?.task.stop()
    const released = lease.release()
    await delay(READINESS_PROPAGATION_MS)
    await server.close()
    do await delay(DRAIN_POLL_MS)
    while (server.open + delegateServer.open > 0 && steadyNow() < endsAtMs)
    server.refuseWaiting()
    delegateServer.declineWaiting()
    // A connection that was accepted before may still bring a request, which this daemon could not finish.
    await setImmediate()
    if (server.open === 0) server.kill()
    // Actions that the release waits for, or the store, may take longer than the grace period; this daemon does not act as the holder meanwhile.
    await Promise.race([released, delay(Math.max(0, endsAtMs - steadyNow()))])
    await this.#leave(leftByMs)
    readiness.close()
    monitor.close()
    this.#resolveLeft()
  }

  /** Leaves the membership and answers what can still be answered; neither is waited for beyond `untilMs`, since the store or a caller may be silent. */
  async #leave (untilMs: number): Promise<void> {
    const { membership, server, streamVersions, recordArchive } = this.#components
    streamVersions.handOver()
    this.#stopTasks()
    await Promise.race([Promise.all([membership.leave(undefined), recordArchive.handOver(Math.min(untilMs, steadyNow() + HAND_OVER_MS))]), delay(Math.max(0, untilMs - steadyNow()))])
    // Attempts that ran by other daemons may have failed as the links were closed, and wait again.
    server.refuseWaiting()
    server.giveUpRunning()
    do await delay(DRAIN_POLL_MS)
    while (server.isSending && steadyNow() < untilMs)
    server.logCut()
    log('daemon-left', { cut: server.open, ...server.drained })
  }

  #stopTasks (): void {
    const { config, poolHistory, registry, limits, endpointLimitTask, engineMemory, signals, loads, tallies, rollouts, stalls, quarantine, archive, recordArchive, processor, paths, regionLink, delegateFinder, delegatedRuns, delegateServer, connectionGate, moves, memory, poll } = this.#components
    poll.stop()
    moves.stop()
    connectionGate.stop()
    memory.stop()
    paths.stop()
    regionLink.stop()
    delegateFinder.stop()
    delegatedRuns.stop()
    delegateServer.stop()
    rollouts?.gate.stop()
    rollouts?.follower.stop()
    processor.stop()
    archive.stop()
    recordArchive.stop()
    quarantine.stop()
    stalls.stop()
    config.stop()
    poolHistory.stop()
    registry.stop()
    limits.stop()
    endpointLimitTask.stop()
    engineMemory?.task.stop()
    signals.stop()
    loads.stop()
    tallies.stop()
  }
}
