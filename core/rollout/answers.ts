/** Counts of failures and answer times of a version, by request class and endpoint group. */
import type { ClassName, EndpointId, EndpointVersion } from '../ids/index.ts'
import type { Hash32 } from '../routing/index.ts'

/**
 * Ratio of an answer's time to its predicted time, on a logarithmic scale; `untimed` for an answer whose time depends on the daemon more than on
 * the endpoint; `failed` for a failure reported by the endpoint itself.
 */
export type AnswerBucket = number | 'untimed' | 'failed'

/** Bucket that counts requests, regardless of their outcome. */
export const REQUEST_COUNT = 'asked'

/** Answers of a set of endpoints to one class. */
export interface AnswerCounts {
  failed: number
  untimed: number
  /** Answers by time bucket. */
  times: Map<number, number>
}

/** Answers to one class: of the old version in total, of the new one by endpoint group. */
export interface ClassAnswers {
  old: AnswerCounts
  new: Map<number, AnswerCounts>
}

/** Answers since an order, by class. */
export type Answers = Map<ClassName, ClassAnswers>

/** Identifies a count that daemons share with each other; the totals under a key only grow. */
export interface AnswerKey {
  /** Id of the order. */
  order: string
  /** Undefined for a count of requests. */
  version: EndpointVersion | undefined
  cls: ClassName
  /** Group of the endpoint; undefined for the old version, which is counted in total. */
  group: number | undefined
  bucket: AnswerBucket | typeof REQUEST_COUNT
}

/** Ratio between the times of one bucket and the next. */
const STEP = 1.5
const LOG_STEP = Math.log(STEP)
/** The outermost buckets hold all times below about a seventh and above about fifty times the prediction. */
const MIN_BUCKET = -5
const MAX_BUCKET = 10
/** Times below this are considered equal, in milliseconds: connection setup takes longer than any difference between them. */
const MIN_TIME_MS = 25
/** Number of endpoint groups: one faulty endpoint still stands out, and the data shared between daemons does not grow with the number of endpoints. */
const GROUP_COUNT = 8
const KEY_PREFIX = 'rollout'

/**
 * Returns the bucket of an answer time.
 *
 * Times are relative to the prediction for the request at its endpoint, since versions receive requests of different sizes and a new version
 * starts with empty prefix caches.
 * @example `timeBucket(200, 100)` returns 1.
 */
export function timeBucket (tookMs: number, predictedMs: number): number {
  const steps = Math.floor(Math.log(Math.max(MIN_TIME_MS, tookMs) / Math.max(MIN_TIME_MS, predictedMs)) / LOG_STEP)
  return Math.min(MAX_BUCKET, Math.max(MIN_BUCKET, steps))
}

/** How long an answer took, in milliseconds. */
export interface AnswerTimes {
  tookMs: number
  predictedMs: number
  /** Part of the time for which the daemon could not read answers, because its process was paused or busy. */
  unavailableMs: number
}

/**
 * Returns the bucket of an answer that did not fail.
 *
 * If the daemon was unavailable for so long that the time without it falls short by a whole bucket, the answer is not timed.
 * @example `answerBucket({ tookMs: 200, predictedMs: 100, unavailableMs: 150 })` returns `untimed`.
 */
export function answerBucket ({ tookMs, predictedMs, unavailableMs }: AnswerTimes): AnswerBucket {
  const isTimed = Math.max(MIN_TIME_MS, tookMs) <= Math.max(MIN_TIME_MS, tookMs - unavailableMs) * STEP
  return isTimed ? timeBucket(tookMs, predictedMs) : 'untimed'
}

/** Returns the group of an endpoint. */
export function endpointGroup (endpoint: EndpointId, hash: Hash32): number {
  return hash(endpoint) % GROUP_COUNT
}

/** Returns the common prefix of a pool's answer keys. */
export function answerKeyPrefix (pool: string): string {
  return `${KEY_PREFIX}/${pool}/`
}

/** Encodes the key of a count. */
export function answerKey (pool: string, { order, version, cls, group, bucket }: AnswerKey): string {
  return answerKeyPrefix(pool) + JSON.stringify([order, version ?? null, cls, group ?? null, bucket])
}

/** Encodes the key that counts a class's requests since an order. */
export function requestCountKey (pool: string, order: string, cls: ClassName): string {
  return answerKeyPrefix(pool) + JSON.stringify([order, null, cls, null, REQUEST_COUNT])
}

/** Decodes a key. */
export function parseAnswerKey (pool: string, key: string): AnswerKey {
  const [order, version, cls, group, bucket] = JSON.parse(key.slice(answerKeyPrefix(pool).length)) as [string, EndpointVersion | null, ClassName, number | null, AnswerKey['bucket']]
  return { order, version: version ?? undefined, cls, group: group ?? undefined, bucket }
}

/** Returns counts of zero. */
export function emptyCounts (): AnswerCounts {
  return { failed: 0, untimed: 0, times: new Map() }
}

/** Adds answers to counts in place. */
export function addAnswers (counts: AnswerCounts, bucket: AnswerBucket, count: number): void {
  if (bucket === 'failed' || bucket === 'untimed') counts[bucket] += count
  else counts.times.set(bucket, (counts.times.get(bucket) ?? 0) + count)
}

/** Returns the counts of a class, creating them if necessary. */
export function classAnswers (answers: Answers, cls: ClassName): ClassAnswers {
  let found = answers.get(cls)
  if (!found) {
    found = { old: emptyCounts(), new: new Map() }
    answers.set(cls, found)
  }
  return found
}

/** Returns the counts of a group of the new version's endpoints, creating them if necessary. */
export function groupAnswers (counts: ClassAnswers, group: number): AnswerCounts {
  let found = counts.new.get(group)
  if (!found) {
    found = emptyCounts()
    counts.new.set(group, found)
  }
  return found
}

/** Returns the number of the new version's answers to a class, including failures. */
export function newAnswerCount (counts: ClassAnswers): number {
  let sum = 0
  for (const group of counts.new.values()) sum += successCount(group) + group.failed
  return sum
}

/** Returns the number of answers that are not failures. */
export function successCount (counts: AnswerCounts): number {
  return counts.untimed + timedCount(counts)
}

/** Returns the number of answers that are not failures and were timed. */
export function timedCount ({ times }: AnswerCounts): number {
  let sum = 0
  for (const count of times.values()) sum += count
  return sum
}

/** Returns the number of answers above a bucket. */
export function slowerCount ({ times }: AnswerCounts, bucket: number): number {
  let sum = 0
  for (const [each, count] of times) if (each > bucket) sum += count
  return sum
}

/** Returns the sum of several counts. */
export function sumCounts (all: Iterable<AnswerCounts>): AnswerCounts {
  const sum = emptyCounts()
  for (const { failed, untimed, times } of all) {
    sum.failed += failed
    sum.untimed += untimed
    for (const [bucket, count] of times) addAnswers(sum, bucket, count)
  }
  return sum
}

/** Returns the new version's answers since an earlier snapshot, with all answers of the old version as the baseline. */
export function answersSince (now: Answers, before: Answers): Answers {
  return new Map([...now].map(([cls, counts]) => {
    const earlier = before.get(cls)?.new
    return [cls, { old: counts.old, new: new Map([...counts.new].map(([group, each]) => [group, subtractCounts(each, earlier?.get(group))])) }]
  }))
}

function subtractCounts (now: AnswerCounts, before: AnswerCounts = emptyCounts()): AnswerCounts {
  return { failed: now.failed - before.failed, untimed: now.untimed - before.untimed, times: new Map([...now.times].map(([bucket, count]) => [bucket, count - (before.times.get(bucket) ?? 0)])) }
}
