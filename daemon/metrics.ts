/** Counters and gauges of one daemon. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Builds the daemon's metrics in a registry of its own. */
export function createMetrics () {
  const registers = [new Registry()]
  const counter = <L extends string>(name: string, help: string, labelNames: L[] = []) => new Counter({ name: `verbenatiller_${name}`, help, labelNames, registers })
  const gauge = <L extends string>(name: string, help: string, labelNames: L[] = []) => new Gauge({ name: `verbenatiller_${name}`, help, labelNames, registers })
  return {
    registry: registers[0]!,
    requests: counter('requests_total', 'Requests by class and outcome', ['class', 'outcome']),
    attempts: counter('attempts_total', 'Attempts at endpoints by how they began', ['mode']),
    chunks: counter('chunks_total', 'Chunks from endpoints by what became of them', ['verdict']),
    moves: counter('moves_total', 'Streams on leaving endpoints by what was decided', ['action']),
    exportsFailed: counter('exports_failed_total', 'KV exports that failed'),
    retriesDenied: counter('retries_denied_total', 'Retries that the budget did not allow', ['class']),
    claims: counter('claims_total', 'Claims on idempotency keys by result', ['result']),
    storeCalls: counter('store_calls_total', 'Calls to the object API', ['use', 'kind', 'failed']),
    peerBytes: counter('peer_bytes_total', 'Bytes between daemons', ['direction']),
    peerMessages: counter('peer_messages_total', 'Messages between daemons', ['direction']),
    peerUnknown: counter('peer_unknown_messages_total', 'Messages of a kind this version does not know'),
    handedOver: counter('handed_over_total', 'Streams handed to another daemon while draining'),
    open: gauge('open_requests', 'Requests accepted and not finished'),
    queued: gauge('queued_requests', 'Requests that wait for an endpoint'),
    revision: gauge('config_revision', 'Revision of the configuration in force'),
    revisionSure: gauge('config_revision_sure', '1 while the store or a peer confirmed the revision lately, else 0'),
    members: gauge('members', 'Daemons known, by state', ['state']),
    firstToken: new Histogram({ name: 'verbenatiller_first_token_ms', help: 'Time to the first token', labelNames: ['class'], buckets: [10, 50, 100, 250, 500, 1000, 1800, 4000], registers }),
    wholeAnswer: new Histogram({ name: 'verbenatiller_whole_answer_ms', help: 'Time to the whole answer', labelNames: ['class'], buckets: [50, 250, 1000, 5000, 20_000, 60_000], registers })
  }
}

/** Metrics of one daemon. */
export type Metrics = ReturnType<typeof createMetrics>
