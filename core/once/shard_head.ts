/** One shard of the claim log: a head object that is replaced under its version, and sealed segments behind it. */
import type { Claim } from './claim.ts'

/** A sealed part of the log. */
export interface Segment {
  /** Key of the object that holds its claims. */
  object: string
  count: number
  /** Newest claim in it, in milliseconds since the epoch. */
  untilMs: number
}

/** What the store holds for a shard. A claim counts once a version of the head, or a segment it names, contains it. */
export interface ShardHead { recent: Claim[], segments: Segment[] }

/** Claims in the head at which it is sealed: bounds the bytes of one write. */
export const SEAL_AT = 256
/** Small segments at which they are merged: bounds the reads of a new owner. */
export const MERGE_AT = 16
/** Claims of a merged segment that is not merged further: about 1 MB. */
export const LARGEST_SEGMENT = 6000

/** The head of a shard that nobody has written. */
export const EMPTY_HEAD: ShardHead = { recent: [], segments: [] }

/** Adds claims to the head. */
export function append (head: ShardHead, claims: readonly Claim[]): ShardHead {
  return { ...head, recent: [...head.recent, ...claims] }
}

/** Replaces the recent claims by a segment that holds them. */
export function seal (head: ShardHead, object: string): ShardHead {
  const segment: Segment = { object, count: head.recent.length, untilMs: newestMs(head.recent) }
  return { recent: [], segments: [...head.segments, segment] }
}

/** The segments that should become one, or none. */
export function mergeable (head: ShardHead): Segment[] {
  const small = head.segments.filter((segment) => segment.count < LARGEST_SEGMENT)
  return small.length >= MERGE_AT ? small : []
}

/** Replaces segments by the one that holds all their claims. */
export function merge (head: ShardHead, merged: readonly Segment[], into: Segment): ShardHead {
  return { ...head, segments: [...head.segments.filter((segment) => !merged.includes(segment)), into] }
}

/** Drops segments that only hold claims older than `keptFromMs`. */
export function dropOld (head: ShardHead, keptFromMs: number): { head: ShardHead, dropped: Segment[] } {
  const dropped = head.segments.filter((segment) => segment.untilMs < keptFromMs)
  if (dropped.length === 0) return { head, dropped }
  return { head: { ...head, segments: head.segments.filter((segment) => !dropped.includes(segment)) }, dropped }
}

/** Time of the newest claim, 0 for none. */
export function newestMs (claims: readonly Claim[]): number {
  return claims.reduce((newest, claim) => Math.max(newest, claim.atMs), 0)
}
