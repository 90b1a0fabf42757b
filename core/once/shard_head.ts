/** Shard of the claim log: a head object, replaced by conditional writes, and the immutable segments that it refers to. */
import type { Claim } from './claim.ts'

/** Sealed, immutable part of the log. */
export interface Segment {
  /** Key of the object that contains its claims. */
  object: string
  /** Number of claims. */
  count: number
  /** Time of its newest claim in milliseconds since the epoch. */
  untilMs: number
}

/** Head object of a shard. A claim is effective once it is contained in a stored head or in a segment that the head refers to. */
export interface ShardHead { recent: Claim[], segments: Segment[] }

/** Number of claims at which the head is sealed; limits the size of a write. */
export const SEAL_THRESHOLD = 256
/** Number of small segments at which they are merged; limits the reads of a new owner. */
export const MERGE_THRESHOLD = 16
/** Number of claims from which a segment is not merged further; about 1 MB. */
export const MAX_SEGMENT_CLAIMS = 6000

/** Head of a shard that was not written yet. */
export const EMPTY_HEAD: ShardHead = { recent: [], segments: [] }

/** Returns the head with claims added. */
export function append (head: ShardHead, claims: readonly Claim[]): ShardHead {
  return { ...head, recent: [...head.recent, ...claims] }
}

/** Returns the head with its recent claims replaced by a segment that contains them. */
export function seal (head: ShardHead, object: string): ShardHead {
  const segment: Segment = { object, count: head.recent.length, untilMs: newestMs(head.recent) }
  return { recent: [], segments: [...head.segments, segment] }
}

/** Returns the segments to merge into one; empty if there are too few. */
export function mergeable (head: ShardHead): Segment[] {
  const small = head.segments.filter((segment) => segment.count < MAX_SEGMENT_CLAIMS)
  return small.length >= MERGE_THRESHOLD ? small : []
}

/** Returns the head with segments replaced by one that contains all their claims. */
export function merge (head: ShardHead, merged: readonly Segment[], into: Segment): ShardHead {
  return { ...head, segments: [...head.segments.filter((segment) => !merged.includes(segment)), into] }
}

/** Drops the segments whose claims are all older than `keptFromMs`, in milliseconds since the epoch. */
export function dropOld (head: ShardHead, keptFromMs: number): { head: ShardHead, dropped: Segment[] } {
  const dropped = head.segments.filter((segment) => segment.untilMs < keptFromMs)
  if (dropped.length === 0) return { head, dropped }
  return { head: { ...head, segments: head.segments.filter((segment) => !dropped.includes(segment)) }, dropped }
}

/** Returns the time of the newest claim, or 0 if there is none. */
export function newestMs (claims: readonly Claim[]): number {
  return claims.reduce((newest, claim) => Math.max(newest, claim.atMs), 0)
}
