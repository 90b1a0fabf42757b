/** Prometheus metrics of one daemon. */
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { taskErrors } from './tasks/index.ts'

/** Maximum number of classes with their own label: a configuration may name thousands, and each label costs memory in every histogram. */
const MAX_CLASS_LABELS = 50
const OTHER_CLASSES_LABEL = 'other'

/** Creates a daemon's metrics in a new registry. */
export function createMetrics () {
  const registers = [new Registry()]
  const counter = <L extends string>(name: string, help: string, labelNames: L[] = []) => new Counter({ name: `verbenatiller_${name}`, help, labelNames, registers })
  const gauge = <L extends string>(name: string, help: string, labelNames: L[] = []) => new Gauge({ name: `verbenatiller_${name}`, help, labelNames, registers })
  const histogram = <L extends string>(name: string, help: string, { labelNames = [], buckets }: { labelNames?: L[], buckets: number[] }) => new Histogram({ name: `verbenatiller_${name}`, help, labelNames, buckets, registers })
  const labelledClasses = new Set<string>()
  registers[0]!.registerMetric(taskErrors)
  return {
    registry: registers[0]!,
    /** Returns the label of a class; classes beyond the first {@linkcode MAX_CLASS_LABELS} share the label `other`. */
    labelOf (cls: string): string {
      if (labelledClasses.has(cls)) return cls
      if (labelledClasses.size >= MAX_CLASS_LABELS) return OTHER_CLASSES_LABEL
      labelledClasses.add(cls)
      return cls
    },
    requests: counter('requests_total', 'Requests by class and outcome', ['class', 'outcome']),
    refused: counter('refused_total', 'Requests refused before anything ran, by status', ['status']),
    overQuota: counter('over_quota_total', 'Requests refused over their account\'s quota, by class', ['class']),
    turnedAway: counter('turned_away_total', 'Requests that no endpoint could take, by class and reason', ['class', 'reason']),
    attempts: counter('attempts_total', 'Attempts at endpoints by how they began', ['mode']),
    failedAttempts: counter('attempts_failed_total', 'Attempts that gave no whole answer, by how far they came', ['point']),
    firstPieces: counter('first_pieces_total', 'First tokens and plain answers, by whether they came within their target', ['class', 'within_target']),
    endpointCrashes: counter('endpoint_crashes_total', 'Endpoints that crashed while they had requests of this daemon', ['pool']),
    quarantined: gauge('quarantined_requests', 'Requests and prompt parts that are sent to no endpoint, since endpoints that ran them crashed'),
    quarantineRefusals: counter('held_total', 'Requests that were sent to no endpoint, since requests like them, or with the same prompt part, crashed those that ran them', ['class', 'cause']),
    answersReplaced: counter('answers_replaced_total', 'Answers of endpoints whose status guarantees that the request has not run although it may have, replaced by one of this daemon, by that status', ['status']),
    chunks: counter('chunks_total', 'Chunks from endpoints by what became of them', ['verdict']),
    moves: counter('moves_total', 'Streams on leaving endpoints by what was decided', ['action']),
    streamMoves: counter('stream_moves_total', 'Moves of running streams by KV cache, by how they ended', ['outcome']),
    kvBytesMoved: counter('kv_bytes_moved_total', 'Bytes of KV caches that were copied between endpoints for moves'),
    kvOrders: counter('kv_orders_total', 'Orders to copy KV caches, by their answer', ['order', 'answer']),
    exportsFailed: counter('exports_failed_total', 'KV exports that failed'),
    retriesDenied: counter('retries_denied_total', 'Repeats that were not allowed', ['class']),
    claims: counter('claims_total', 'Claims on idempotency keys by result', ['result']),
    storeCalls: counter('store_calls_total', 'Calls to the object API', ['use', 'kind', 'failed']),
    orders: counter('orders_total', 'Orders for endpoints by result', ['result']),
    rolloutAnswers: counter('rollout_answers_total', 'Answers while a version was rolled out, by version; `failed` where an endpoint said so itself', ['pool', 'version', 'failed']),
    peerBytes: counter('peer_bytes_total', 'Bytes between daemons', ['direction']),
    farPeerBytes: counter('peer_far_bytes_total', 'Bytes between daemons of different regions, which peer_bytes_total contains', ['direction']),
    peerMessages: counter('peer_messages_total', 'Messages between daemons, several of one moment counted as one', ['direction']),
    unknownPeerMessages: counter('peer_unknown_messages_total', 'Messages of a kind this version does not know'),
    refusedPeerMessages: counter('peer_refused_total', 'Messages of other daemons, and entries of their gossip, that were refused because of their form'),
    handedOver: counter('handed_over_total', 'Streams handed to another daemon while draining'),
    endpointSignals: counter('endpoint_signals_total', 'Endpoints that said something about themselves in an answer, by signal; `refused` if it could not be read', ['signal']),
    pathChecks: counter('path_checks_total', 'Connections opened to learn whether an endpoint can be reached, by result', ['result']),
    pathsDown: gauge('paths_down', 'Endpoints that this daemon cannot reach'),
    streamVersions: counter('stream_versions_total', 'Streams that callers resumed, by how it was found out at which version they began; `recorded-late` if not at the first inquiry', ['result']),
    unknownStreams: counter('unknown_streams_total', 'Streams that callers resumed and that cannot go on, by why it is not known at which version they began', ['cause']),
    streamRecords: counter('stream_records_total', 'Records of where streams began, by whether they were sent to another daemon; `stored` and `read` at the store', ['result']),
    poolHistory: counter('pool_history_total', 'Calls to the store on the versions of pools, by result; `unrecorded` for versions that were used before the store held them', ['result']),
    delegated: counter('delegated_total', 'Requests sent through another daemon since no endpoint of their pool could be reached, by result', ['result']),
    delegatedFor: counter('delegated_for_others_total', 'Requests of other daemons that this one ran, by result', ['result']),
    limitedEndpoints: gauge('limited_endpoints', 'Endpoints that limit the rate of requests from all daemons', ['pool']),
    limitedRequests: counter('limited_requests_total', 'Requests to endpoints with a limit: sent with a permit, sent without one, or diverted', ['result']),
    spilledRequests: counter('spilled_requests_total', 'Requests sent to endpoints of another region, by region and by why their own was not used', ['region', 'why']),
    spilledBytes: counter('spilled_bytes_total', 'Bytes of the bodies of these requests', ['region']),
    engineMemoryHeld: gauge('engine_memory_held_tokens', 'Tokens of memory that this daemon\'s requests may take at endpoints, by pool', ['pool']),
    engineMemoryPasses: counter('engine_memory_passes_total', 'Endpoints that were passed over for a request, since their memory had no room for it or this daemon no grant', ['pool']),
    engineMemoryRefusals: counter('engine_memory_refusals_total', 'Requests refused since they are larger than the memory of any endpoint of their pool', ['pool']),
    engineMemoryMessages: counter('engine_memory_messages_total', 'Messages about the memory of endpoints: reports to the keeper, and grants from this daemon as the keeper', ['kind']),
    connectionsShed: counter('connections_shed_total', 'Connections of callers that were closed unread, since this daemon had more work than it could do in time'),
    acceptsConnections: gauge('accepts_connections', '1 while new connections of callers are accepted, 0 while they are closed unread'),
    regionLinkDelay: gauge('region_link_delay_ms', 'Delay that the queue of the link to other regions adds'),
    regionLinkRate: gauge('region_link_rate_bytes', 'Bytes per second that this daemon may send to other regions'),
    heldBytes: gauge('held_bytes', 'Bytes held for callers and endpoints, by what they are for', ['kind']),
    callersLeft: counter('callers_left_total', 'Requests whose callers left before the end of the answer, by how far they had come', ['phase']),
    unread: histogram('request_unread_ms', 'Longest time for which a request can have waited before this daemon read it', { buckets: [150, 300, 600, 1200, 2500, 5000] }),
    pausedAnswers: gauge('paused_answers', 'Answers that are not read from their endpoint, since their caller has not taken what was read'),
    evictions: counter('evictions_total', 'What was ended since memory was short, by kind', ['kind']),
    open: gauge('open_requests', 'Requests accepted and not finished'),
    queued: gauge('queued_requests', 'Requests that wait for an endpoint'),
    endpoints: gauge('endpoints', 'Endpoints by pool and state', ['pool', 'state']),
    revision: gauge('config_revision', 'Revision of the configuration in force'),
    revisionSure: gauge('config_revision_sure', '1 while the store or a peer confirmed the revision lately, else 0'),
    storeReturns: counter('store_returns_total', 'Returns of the store to a copy of itself, by its era'),
    members: gauge('members', 'Daemons known, by state', ['state']),
    storeChangeAge: histogram('store_news_age_ms', 'Age of what another daemon told of the store', { labelNames: ['prefix'], buckets: [50, 200, 500, 1000, 2000, 4000, 6000] }),
    quotaWait: histogram('quota_wait_ms', 'Time to hear whether an account\'s quota has room', { buckets: [1, 5, 20, 100, 500, 1500] }),
    firstToken: histogram('first_token_ms', 'Time to the first token', { labelNames: ['class'], buckets: [10, 50, 100, 250, 500, 1000, 1800, 4000] }),
    fullAnswer: histogram('whole_answer_ms', 'Time to the whole answer', { labelNames: ['class'], buckets: [50, 250, 1000, 5000, 20_000, 60_000] })
  }
}

/** The metrics that {@linkcode createMetrics} creates. */
export type Metrics = ReturnType<typeof createMetrics>
