/** Outcomes of simulated requests, and what they are worth to callers. */
import type { AccountId, EndpointId } from '../core/ids/index.ts'
import { steadyNow } from '../core/time/index.ts'
import type { Demand } from '../core/work/index.ts'

/** Traffic of one work class. */
export interface SimulatedClass {
  name: string
  perS: number
  urgent: boolean
  /** Mean number of prompt tokens unique to a request; drawn from a log-normal distribution, so some requests have several times as many. */
  uniqueTokens: number
  /** Number of prompt tokens shared by all requests about one subject, and the number of subjects. */
  sharedTokens: number
  subjects: number
  pieces: number
  firstTokenMs: number
  deadlineMs: number
  maxAttempts: number
  /** What callers gain by an answer in time to a request of mean size; a late one is worth a tenth. Default: 1. */
  worth?: number
}

/** Request outcomes of one class. */
export interface ClassResults {
  asked: number
  inTime: number
  late: number
  /** Refused by the daemon because no capacity became available in time. */
  refusedByDaemon: number
  /** Refusals after more than an eighth of the first-token target, including those after which the caller came back. */
  heldThenRefused: number
  /** Refusals while an endpoint had half of its slots free and nothing to prefill. */
  refusedWithRoom: number
  /** Worth of the requests asked and served; see {@linkcode SimulatedClass.worth}. */
  worthAsked: number
  worthServed: number
  /** Requests asked and served in time by account. */
  byAccount: Map<string, { asked: number, inTime: number }>
  /** Requests of more than {@linkcode LARGE_RATIO} times the mean size, asked and in time. */
  large: { asked: number, inTime: number }
  /** Rejected by full engines after the last attempt. */
  rejectedByEngine: number
  /** Attempts, and those sent to another region. */
  sent: number
  crossed: number
  /** Shared prompt tokens prefilled on one engine while another engine had them cached. */
  redundantPrefillTokens: number
  /** Relative errors of the predicted time from placement to first token. */
  predictionErrors: number[]
}

/** A request of a simulated caller. */
export interface SimulatedRequest {
  cls: SimulatedClass
  figures: ClassResults | undefined
  account: AccountId
  atMs: number
  /** When the caller came back; undefined before. */
  againAtMs?: number
  demand: Demand
  attempts: number
  avoid: readonly EndpointId[]
}

/** Fraction of the first-token target within which a refusal counts as immediate. */
const AT_ONCE = 1 / 8
/** Worth of a late answer as a fraction of that of one in time. */
const LATE_WORTH = 0.1
const MAX_WORTH_RATIO = 4
/** Size, as a multiple of the mean of its class, above which a request counts as large: a tenth of all. */
const LARGE_RATIO = 2.2

/** Returns results without any request. */
export function noResults (): ClassResults {
  return {
    asked: 0,
    inTime: 0,
    late: 0,
    refusedByDaemon: 0,
    heldThenRefused: 0,
    refusedWithRoom: 0,
    rejectedByEngine: 0,
    sent: 0,
    crossed: 0,
    worthAsked: 0,
    worthServed: 0,
    byAccount: new Map(),
    large: { asked: 0, inTime: 0 },
    redundantPrefillTokens: 0,
    predictionErrors: []
  }
}

/** Worth of a request: a part is the same for each, the rest follows its size against the mean of its class. */
function worthOf ({ cls, demand }: SimulatedRequest): number {
  return (cls.worth ?? 1) * Math.min(MAX_WORTH_RATIO, 0.3 + 0.7 * demand.promptTokens / (cls.sharedTokens + cls.uniqueTokens))
}

function isLarge ({ cls, demand }: SimulatedRequest): boolean {
  return demand.promptTokens > LARGE_RATIO * (cls.sharedTokens + cls.uniqueTokens)
}

function accountResults ({ figures, account }: SimulatedRequest): { asked: number, inTime: number } {
  const known = figures!.byAccount.get(account) ?? { asked: 0, inTime: 0 }
  figures!.byAccount.set(account, known)
  return known
}

/** Counts a request that is made. */
export function recordAsked (req: SimulatedRequest): void {
  if (!req.figures) return
  req.figures.asked++
  req.figures.worthAsked += worthOf(req)
  accountResults(req).asked++
  if (isLarge(req)) req.figures.large.asked++
}

/** Counts a first token. */
export function countFirstToken (req: SimulatedRequest): void {
  const { cls, figures, atMs } = req
  if (!figures) return
  const inTime = steadyNow() - atMs <= cls.firstTokenMs
  if (inTime) {
    figures.inTime++
    accountResults(req).inTime++
    if (isLarge(req)) figures.large.inTime++
  } else {
    figures.late++
  }
  figures.worthServed += worthOf(req) * (inTime ? 1 : LATE_WORTH)
}

/** Counts a refusal, which may be followed by another try. */
export function recordRefusal ({ figures, cls, atMs, againAtMs }: SimulatedRequest, { withRoom }: { withRoom: boolean }): void {
  if (!figures) return
  if (steadyNow() - (againAtMs ?? atMs) > cls.firstTokenMs * AT_ONCE) figures.heldThenRefused++
  if (withRoom) figures.refusedWithRoom++
}
