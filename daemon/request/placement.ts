/** A request that needs an endpoint, and what decides where it may be sent. */
import type { SelectedDelegate } from '../../core/delegation/index.ts'
import type { AccountId, DaemonId, EndpointId, PoolName, Region } from '../../core/ids/index.ts'
import type { CrossingReason, EndpointView, Route } from '../../core/routing/index.ts'
import type { StreamVersion } from '../../core/streams/index.ts'
import type { Demand, WorkClass } from '../../core/work/index.ts'

/** A request that needs an endpoint. */
export interface Placement {
  account: AccountId
  cls: WorkClass
  pool: PoolName
  demand: Demand
  /** Length of the request's body. Default: 0. */
  bytes?: number
  /** Tokens produced by earlier attempts, which the endpoint must prefill along with the prompt. */
  doneTokens: number
  /** When the request was accepted, in milliseconds on the steady clock. */
  acceptedAtMs: number
  deadlineAtMs: number
  /** True if an earlier attempt may have run. Such a request isn't refused for its latency target, which the earlier attempt has met or missed. */
  resumed: boolean
  /** Where the stream began that the request continues. Default: its caller has no event of it. */
  boundTo?: StreamVersion | undefined
  avoid: readonly EndpointId[]
  /** Returns whether an endpoint may run the request. Default: each may. */
  accepts? (view: EndpointView): boolean
  /** Returns whether the request may be sent, asked once an endpoint was selected. Default: it may. */
  mayStart? (): boolean
  placed (view: EndpointView, route: Route): void
  /** Called when another daemon is to run the request. Default: the request is refused instead. */
  delegated? (to: SelectedDelegate): void
  /** Daemons that must not run it. Default: none. */
  avoidDelegates?: readonly DaemonId[]
  /** Called when the request is refused; `retryAfterMs` is `Infinity` if it is of no use to come back. */
  refused (reason: string, retryAfterMs: number): void
  /** Called before the request is refused since prompts that wait at the endpoints would make it late. Default: does nothing. */
  noRoom? (wait: RoomWait): void
  /** Called when the request is queued because no endpoint has room. */
  waits (queue: QueuePosition): void
  /** Called when the preferred endpoint is not used because of its limit, in requests per second. Default: does nothing. */
  diverted? (view: EndpointView, perS: number | undefined): void
  /** Called when the request is sent to an endpoint of another region, before `placed`. Default: does nothing. */
  spilled? (view: EndpointView, crossing: Crossing): void
}

/** Predicted wait for prefill and the longest that is accepted now, in milliseconds, and when the caller may return; `Infinity` if that is of no use. */
export interface RoomWait { waitMs: number, allowedMs: number, retryAfterMs: number }

/** Why a request is sent to another region, and how long a round trip to it takes, in milliseconds. */
export interface Crossing { region: Region, roundTripMs: number, why: CrossingReason }

/** Position of a request in its pool's queue, and the expected wait. */
export interface QueuePosition { ahead: number, expectedMs: number, latestStartInMs: number, candidates: number }

/** Selects requests that are sent to the canary endpoints of a new version. */
export interface CanaryGate {
  /** Returns the canary endpoints that a request may be sent to; none for most requests. */
  canaries (placement: Placement): readonly EndpointView[]
  /** Called after a request was sent to a canary endpoint. */
  spent (placement: Placement): void
}

/** Limits the rate of requests to endpoints that ask for it. */
export interface EndpointLimiter {
  /** True if an endpoint has a limit. */
  isLimited (view: EndpointView): boolean
  /** Limit of an endpoint in requests per second; undefined if it has none. */
  perS (view: EndpointView): number | undefined
  /** True if a request may be sent to an endpoint now. */
  mayStart (view: EndpointView): boolean
  /** True if a permit reserves a slot at an endpoint for this daemon, whatever load is reported there. */
  hasReservedSlot (view: EndpointView): boolean
  /** Endpoints of a pool that have a limit and may get a request now. */
  permitted (pool: PoolName): readonly EndpointId[]
  /** Asks for permission to send a request of a pool to an endpoint with a limit. Resolves within tenths of a second; undefined if none can be expected. */
  ask (pool: PoolName, urgent: boolean): Promise<boolean> | undefined
  /** Called when a request is not sent to an endpoint because of its limit. */
  diverted (): void
  /** Called when a request is queued. */
  queued (): void
  /** Estimated time until a new request may be sent to an endpoint with a limit, in milliseconds. */
  waitMs (pool: PoolName, urgent: boolean): number
}

/** A request that could be sent to another region. */
export interface CrossingRequest {
  /** Length of its body. */
  bytes: number
  urgent: boolean
  /** True if it may be sent again after a failure. */
  repeatable: boolean
  /** What serving it is worth, relative to others. Default: 1. */
  worth?: number
}

/** Decides which requests may be sent to another region, by what it costs to carry them. */
export interface RegionCrossing {
  /** Returns true if a request may be sent to another region now. May be called several times for a request, and does not say that it will be sent. */
  mayCross (req: CrossingRequest): boolean
  /** Called with the number of bytes when a request is sent to another region. */
  crossed (bytes: number): void
}

/** How a request can be sent now. `wait`: that is being found out. */
export type RequestWay = { type: 'direct' } | { type: 'wait' } | { type: 'none' } | { type: 'delegate', to: SelectedDelegate }

/** Knows which endpoints this daemon can reach, and which daemons run requests for it while it reaches none. */
export interface RequestWays {
  /** True if a request may be sent to an endpoint from here. */
  canSend (view: EndpointView, work: { idempotent: boolean }): boolean
  /** Returns how a request of a pool can be sent. */
  wayFor (req: { pool: PoolName, idempotent: boolean, mayDelegate: boolean, avoidDelegates: readonly DaemonId[] }): RequestWay
}

/** Keeps requests within the memory of endpoints. */
export interface EndpointMemory {
  /** True if a request that holds a number of tokens may be sent to an endpoint now. If not, memory for it may be asked for. */
  hasRoom (view: EndpointView, tokens: number): boolean
  /** True if a request exceeds what any endpoint of its pool can hold. */
  isTooLarge (pool: PoolName, tokens: number): boolean
}
