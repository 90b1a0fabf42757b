/** A class of work as the request path sees it, whichever configuration it came from. */
import type { ClassName } from '../ids/index.ts'

/** Requests with the same targets and the same rules for repeating them. */
export interface WorkClass {
  name: ClassName
  /** May run more than once: a read, or a stream that can go on elsewhere behind what the caller has. */
  idempotent: boolean
  /** Answered piece by piece by a model engine; other classes are plain calls. */
  streaming: boolean
  /** A stream can go on at another endpoint behind the pieces that the caller already has. */
  resumable: boolean
  /** Stop the work when the caller disconnects. */
  cancelOnLeave: boolean
  /** Endpoints that one request may be sent to, the first included. */
  maxAttempts: number
  /** Rank among classes; 0 goes first. */
  priority: number
  /** Waits before others, may use the reserve of batch slots, and its prompts are read first. */
  urgent: boolean
  latency: {
    /** Time to the first token, or to the whole answer of a plain call, in milliseconds. */
    firstTokenMs: number
    /** Longest pause between pieces in milliseconds; undefined where none was asked for. */
    betweenTokensMs: number | undefined
    /** Longest time until the whole answer in milliseconds, from acceptance. */
    deadlineMs: number
  }
  /** Fraction of accepted requests to answer by the deadline. */
  delivery: number
}

/** Longest deadline of a class that goes first where no rank says otherwise: its work is short. In milliseconds. */
const URGENT_DEADLINE_MS = 5000

/** True for a class whose work is short enough to go first. */
export function isShort (latency: { deadlineMs: number }): boolean {
  return latency.deadlineMs <= URGENT_DEADLINE_MS
}
