/** Tells the daemon's other components what a failed attempt shows of its endpoint. */
import type { ClassName, EndpointId } from '../../core/ids/index.ts'
import { isConnectFailure, isConnectionAborted, isEndpointReported, type AttemptError, type FailurePoint } from '../../core/outcome/index.ts'
import type { EndpointView } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { ASSUMED_NOTICE_MS, type EndpointTable } from '../endpoints/endpoint_table.ts'
import type { RequestPorts } from './work.ts'

interface FailedAt { endpoint: EndpointId, view: EndpointView | undefined, point: FailurePoint }

/** Records that an endpoint is alive, leaves or has gone, as far as a failure shows it. */
export function recordDeparture (table: EndpointTable, { endpoint, view, point }: FailedAt): void {
  if (isEndpointReported(point)) table.recordActivity(endpoint)
  if (point === 'endpoint-leaving' && view) table.leaving([view.hostId], steadyNow() + ASSUMED_NOTICE_MS, 'refusal')
  // Another endpoint answered at its address, so its process has ended, although the registry may list it for a while.
  if (point === 'endpoint-gone' && view) table.leaving([view.hostId], steadyNow(), 'refusal')
}

/** A failed attempt of a request. */
export interface FailedAttemptRecord extends FailedAt {
  /** Recorded once only: the failure of a move may count after it was recorded. */
  err: AttemptError
  cls: ClassName
  /** When the attempt was sent, in milliseconds on the steady clock; undefined if it was not. */
  sentAtMs: number | undefined
  run: Parameters<RequestPorts['crashes']['failed']>[2]
  /** True if the answer was not read for a while: an endpoint cuts off an answer that nobody reads. */
  wasPaused: boolean
}

const recorded = new WeakSet<AttemptError>()

/** Passes a failure on to limits, crash attribution, rollouts, path checks and the endpoint's failure count. */
export function recordFailedAttempt (ports: RequestPorts, { endpoint, view, point, err, cls, sentAtMs, run, wasPaused }: FailedAttemptRecord): void {
  if (recorded.has(err)) return
  recorded.add(err)
  const { table, limits, crashes, answers, paths } = ports
  if (view && point === 'endpoint-said-not-run') limits?.rejected(view)
  if (view && point === 'endpoint-error') answers?.failed(view, cls)
  if (wasPaused && isConnectionAborted(point)) return
  crashes.failed({ id: endpoint, view }, point, run)
  if (view && isConnectFailure(point)) paths?.suspect(view, 'connect-failed')
  else if (view && isConnectionAborted(point)) paths?.suspect(view, 'connection-silent')
  // What a failed connection attempt shows is the path's state, which is checked on its own.
  if (!paths || !isConnectFailure(point)) table.failed(endpoint, { point, sentAtMs: sentAtMs ?? steadyNow() })
}

/** Records what a failed attempt shows while its request goes on as part of a move. */
export function recordHeld (ports: RequestPorts, failed: FailedAttemptRecord): void {
  recordDeparture(ports.table, failed)
  recordFailedAttempt(ports, failed)
}
