/** Small versions of both deployments: failure domains, host classes, endpoints and the work that arrives. */
import { fileURLToPath } from 'node:url'
import { configSchema, parseJsonc, type Config } from '../core/config/index.ts'
import { readTextFile } from '../daemon/read_text_file.ts'
import type { HostClass } from '../standins/index.ts'

/** One kind of request that callers send. */
export interface WorkKind { className: string, weight: number, promptTokens: [number, number], maxTokens: [number, number], stream: boolean }

/** Hosts, services, work and configuration of one deployment. */
export interface Deployment {
  name: string
  domains: readonly string[]
  hostClasses: readonly HostClass[]
  /** Number of hosts by pool. */
  hosts: ReadonlyMap<string, number>
  /** Latency in milliseconds by plain service. */
  services: ReadonlyMap<string, number>
  work: readonly WorkKind[]
  config: Config
}

/** Speeds of the stand-in engine, which is faster than a real one so that a demo takes only seconds. */
const SPEED = {
  batchSlots: 16,
  prefillTokensPerS: 20_000,
  betweenTokensMs: 6,
  betweenTokensPerStreamMs: 0.2,
  exportTokensPerS: 40_000,
  importTokensPerS: 40_000
}

const HOST_CLASSES: readonly HostClass[] = [{ name: 'quad', reclaimablePrice: 4.2, onDemandPrice: 11.5, speed: SPEED }]

/** Reads the example configuration of a deployment. */
export function exampleConfig (name: string): Config {
  const path = fileURLToPath(new URL(`../examples/${name}.config.jsonc`, import.meta.url))
  return parseJsonc(configSchema, readTextFile(path), path)
}

/** Council tax claims: six model servers and three servers of the status service. */
export function adunniLevy (): Deployment {
  return {
    name: 'adunni-levy',
    domains: ['ikeja', 'lekki', 'yaba'],
    hostClasses: HOST_CLASSES,
    hosts: new Map([['assessments', 6], ['claims-status', 3]]),
    services: new Map([['claims-status', 20]]),
    work: [
      { className: 'claim-review', weight: 3, promptTokens: [800, 3000], maxTokens: [300, 900], stream: true },
      { className: 'letter-draft', weight: 3, promptTokens: [100, 400], maxTokens: [30, 90], stream: true },
      { className: 'status-check', weight: 4, promptTokens: [10, 20], maxTokens: [1, 1], stream: false }
    ],
    config: exampleConfig('adunni_levy')
  }
}

/** Athletics records: thirteen ranking model servers and three servers of the results service. */
export function kingstonParish (): Deployment {
  return {
    name: 'kingston-parish',
    domains: ['half-way-tree', 'cross-roads', 'new-kingston'],
    hostClasses: HOST_CLASSES,
    hosts: new Map([['rankings', 13], ['meet-results', 3]]),
    services: new Map([['meet-results', 15]]),
    work: [
      { className: 'season-dossier', weight: 3, promptTokens: [500, 2000], maxTokens: [300, 900], stream: true },
      { className: 'standings-question', weight: 3, promptTokens: [50, 200], maxTokens: [20, 60], stream: true },
      { className: 'result-confirmation', weight: 4, promptTokens: [10, 20], maxTokens: [1, 1], stream: false }
    ],
    config: exampleConfig('kingston_parish')
  }
}
