/** The stand-in platform and a few daemons that use it, all on loopback in one process. */
import { as, type FailureDomain, type PoolName } from '../core/ids/index.ts'
import { Daemon } from '../daemon/daemon.ts'
import { settingsSchema, type Settings } from '../daemon/settings.ts'
import { Ledger, serveCloudApi, serveEngine, serveObjectApi, serveService, StandInCloud, StandInEngine, StandInStore, type Listening } from '../standins/index.ts'
import type { Deployment } from './deployments.ts'

/** A running stand-in platform with its daemons. */
export interface Platform {
  deployment: Deployment
  ledger: Ledger
  store: StandInStore
  cloud: StandInCloud
  daemons: Daemon[]
  stop (): Promise<void>
}

/** Options of {@linkcode startPlatform}. */
export interface PlatformOptions {
  seed: number
  /** Number of daemons. Default 3. */
  daemons?: number
  /** Milliseconds that a daemon has to drain. Default 8,000. */
  drainMs?: number
}

export const DEMO_SECRET = 'demo-peer-secret'

/** Returns the credential of an account or operator of the example configurations. */
export function demoCredential (name: string): string {
  return `${name}-demo-credential`
}

/** Listening stand-ins of one deployment. */
export interface ServedStandIns { ledger: Ledger, store: StandInStore, cloud: StandInCloud, objectApi: Listening, cloudApi: Listening, stop (): Promise<void> }

/** Starts the stand-in platform and boots the deployment's hosts. */
export async function serveStandIns (deployment: Deployment, ports = { objectApi: 0, cloudApi: 0 }): Promise<ServedStandIns> {
  const ledger = new Ledger()
  const store = new StandInStore()
  const cloud = new StandInCloud({
    ledger,
    classes: deployment.hostClasses,
    serviceLatencyMs: deployment.services,
    publish: (endpoint) => (endpoint instanceof StandInEngine ? serveEngine(endpoint) : serveService(endpoint))
  })
  await bootHosts(deployment, cloud)
  const objectApi = await serveObjectApi(store, ports.objectApi)
  const cloudApi = await serveCloudApi(cloud, ports.cloudApi)
  const stop = async () => {
    await Promise.all(cloud.live().map((host) => cloud.stop(host.hostId)))
    await Promise.all([objectApi.close(), cloudApi.close()])
  }
  return { ledger, store, cloud, objectApi, cloudApi, stop }
}

/** Starts the stand-in platform and its daemons, and applies the deployment's configuration. */
export async function startPlatform (deployment: Deployment, options: PlatformOptions): Promise<Platform> {
  const { ledger, store, cloud, objectApi, cloudApi, stop } = await serveStandIns(deployment)
  const daemons: Daemon[] = []
  for (let i = 0; i < (options.daemons ?? 3); i++) {
    const settings = daemonSettings(deployment, i, { objectApi: objectApi.url, cloudApi: cloudApi.url, drainMs: options.drainMs ?? 8000, seeds: seedsOf(daemons) })
    daemons.push(await Daemon.start({ settings, seed: options.seed + i }))
  }
  await daemons[0]!.config.apply(deployment.config, { operator: 'bootstrap' })
  await waitUntil(() => daemons.every((daemon) => daemon.ready))
  const stopAll = async () => {
    await Promise.all(daemons.map((daemon) => daemon.kill()))
    await stop()
  }
  return { deployment, ledger, store, cloud, daemons, stop: stopAll }
}

async function bootHosts (deployment: Deployment, cloud: StandInCloud): Promise<void> {
  for (const [pool, count] of deployment.hosts) {
    for (let i = 0; i < count; i++) {
      const failureDomain = as<FailureDomain>(deployment.domains[i % deployment.domains.length]!)
      await cloud.start({ hostClass: deployment.hostClasses[0]!.name, failureDomain, pool: as<PoolName>(pool), reclaimable: i % 3 !== 2 })
    }
  }
}

function daemonSettings (deployment: Deployment, i: number, options: { objectApi: string, cloudApi: string, drainMs: number, seeds: string[] }): Settings {
  const failureDomain = deployment.domains[i % deployment.domains.length]!
  return settingsSchema.parse({
    name: `${failureDomain}-${i + 1}`,
    failureDomain,
    address: '127.0.0.1',
    ports: { callers: 0, operators: 0, peers: 0 },
    platform: { objectApi: options.objectApi, cloudApi: options.cloudApi },
    seeds: options.seeds,
    peerSecret: DEMO_SECRET,
    drainMs: options.drainMs
  })
}

function seedsOf (daemons: readonly Daemon[]): string[] {
  return daemons.map((daemon) => daemon.addresses.peers)
}

/**
 * Waits until a condition holds.
 * @throws {Error} If it does not hold within `timeoutMs`.
 */
export async function waitUntil (holds: () => boolean, timeoutMs = 10_000): Promise<void> {
  const endsAtMs = Date.now() + timeoutMs
  while (!holds()) {
    if (Date.now() > endsAtMs) throw new Error('Cannot continue: the condition was not met in time')
    await new Promise((resolve) => setTimeout(resolve, 20))
  }
}
