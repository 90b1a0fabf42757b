/** Classes of work as the request path uses them, independent of the source of the configuration. */
import type { ClassName } from '../ids/index.ts'

/** Class of requests with the same targets and retry rules. */
export interface WorkClass {
  name: ClassName
  /** True if a request may run more than once: a read, or a stream that can continue elsewhere after the pieces that the caller already has. */
  idempotent: boolean
  /** True if a model engine streams the answer; other classes are plain calls. */
  streaming: boolean
  /** True if a stream can continue at another endpoint after the pieces that the caller already has. */
  resumable: boolean
  /** True if requests are cancelled when the caller disconnects. */
  cancelOnLeave: boolean
  /** Maximum number of endpoints that a request may be sent to, including the first. */
  maxAttempts: number
  /** Priority among classes; 0 is the highest. */
  priority: number
  /** True if requests precede others in the queue, may use the reserved batch slots, and have their prompts prefilled first. */
  urgent: boolean
  latency: {
    /** Target for the time to the first token, or to the whole answer of a plain call, in milliseconds. */
    firstTokenMs: number
    /** Target for the longest pause between pieces, in milliseconds; undefined if there is none. */
    betweenTokensMs: number | undefined
    /** Time from acceptance to the whole answer, in milliseconds. */
    deadlineMs: number
  }
  /** Target fraction of accepted requests answered by the deadline. */
  delivery: number
}

/** Longest deadline, in milliseconds, of a class that is urgent by default because its work is short. */
const MAX_URGENT_DEADLINE_MS = 5000

/** Returns true if the deadline of a class is short enough for it to be urgent by default. */
export function isUrgentByDefault (latency: { deadlineMs: number }): boolean {
  return latency.deadlineMs <= MAX_URGENT_DEADLINE_MS
}
