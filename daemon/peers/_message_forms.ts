/** The forms of the messages between daemons, by method and topic. */
import { isAmount, isAnything, isCount, isFiniteNumber, isFlag, isName, isNumber, isText, isWait, listOf, objectOf, optional, orNull, tupleOf, type Form } from '../../core/bounds/index.ts'
import { isLeaseRecord } from '../../core/lease/index.ts'

const isLoad = tupleOf(isName, objectOf({ running: isAmount, unread: objectOf({ urgent: isAmount, normal: isAmount, late: isAmount }), heldTokens: optional(isAmount) }))
const isEndpointCount = tupleOf(isName, isAmount)
const isObservation = objectOf({ endpoint: isName, pool: isName, perS: optional(isAmount), ageMs: isFiniteNumber })
const isSlotReport = objectOf({ held: listOf(isEndpointCount), rejected: listOf(isEndpointCount), receivedGrants: isCount })
const isLevel = tupleOf(isName, isFiniteNumber)
const isTotals = listOf(tupleOf(isName, isFiniteNumber))
const isStreamVersion = objectOf({ pool: isName, version: optional(isText) })
const isDemand = objectOf({ promptTokens: isAmount, maxTokens: isAmount, expectedTokens: isAmount, parts: listOf(objectOf({})) })
const isHandOver = objectOf({ id: isName, account: isName, className: isName, prompt: isText, maxTokens: isAmount, tokens: listOf(isText), attempt: isCount, endpoint: optional(isName), deadlineInMs: isWait, boundTo: optional(isStreamVersion) })
const isOwnedRequest = objectOf({ id: isName, account: isName })
const isProxiedRequest = objectOf({
  id: isName,
  method: isName,
  target: isText,
  host: isText,
  headers: listOf(tupleOf(isText, isText)),
  body: (value) => value instanceof Uint8Array,
  demand: optional(isDemand),
  resumeFrom: isAmount,
  streamId: optional(isName)
})

const isRevisionRequest = objectOf({ after: isCount, waitMs: isWait })
const isCrashedRun: Form = (value) => Array.isArray(value) && isName(value[0]) && isFiniteNumber(value[1]) && value.slice(2).every(isName)
const isCrash = objectOf({
  endpoint: isName,
  ageMs: isFiniteNumber,
  aboard: listOf(isName),
  cleared: listOf(isName),
  place: optional(objectOf({ pool: isName, version: optional(isText), poolSize: isAmount })),
  runs: optional(listOf(isCrashedRun))
})
/** Pool and version, and then the key of each stream followed by its remaining life. */
const areStreams: Form = (value) => tupleOf(isName, orNull(isText))(value) && (value as unknown[]).slice(2).every((item, i) => (i % 2 === 0 ? isName(item) : isFiniteNumber(item)))

/** Form of the value of each topic's messages. */
export const POST_FORMS: ReadonlyMap<string, Form> = new Map([
  ['load-report', listOf(isLoad)],
  ['load-others', listOf(isLoad)],
  ['limit-report', objectOf({
    observations: listOf(isObservation),
    rejections: optional(listOf(isObservation)),
    requests: listOf(objectOf({ pool: isName, urgent: isAmount, normal: isAmount, waits: isFlag })),
    unused: listOf(isEndpointCount),
    slots: optional(isSlotReport)
  })],
  ['limit-reply', objectOf({ grants: listOf(isEndpointCount), waits: listOf(objectOf({ pool: isName, urgentMs: isNumber, normalMs: isNumber })), answersAsks: isFlag, number: isCount })],
  ['limits', listOf(isObservation)],
  ['rejection-limits', listOf(isObservation)],
  ['engine-memory', objectOf({ received: isCount, atMs: isFiniteNumber, held: optional(listOf(isEndpointCount)), wants: listOf(objectOf({ pool: isName, tokens: isAmount, endpoints: listOf(isName) })) })],
  ['engine-memory-granted', objectOf({ number: isCount, askedAtMs: isFiniteNumber, grants: listOf(isEndpointCount) })],
  ['quota-vote', objectOf({ host: isName, number: isCount, told: listOf(isLevel), freeInMs: isAmount })],
  ['quota-probe', isAnything],
  ['quota-heard', objectOf({ levels: listOf(isLevel) })],
  ['quota-withdrawn', isCount],
  ['quota-freed', objectOf({ number: isCount, levels: listOf(isLevel) })],
  ['quota-given-back', tupleOf(isName, isAmount)],
  ['config-available', isCount],
  ['rollout-grant', objectOf({ pool: isName, grant: objectOf({ order: isText, number: isCount, requests: listOf(tupleOf(isName, isAmount)), endpoints: listOf(isName), forMs: isWait }) })],
  ['rollout-grant-used', objectOf({ pool: isName, order: isText, number: isCount, used: isAmount })],
  ['tally-told', objectOf({ entries: isTotals, wallMs: isFiniteNumber })],
  ['tally-shared', objectOf({ sheets: listOf(objectOf({ daemon: isName, entries: isTotals })) })],
  ['tally-heard', objectOf({ wallMs: isFiniteNumber })],
  ['lease-renewed', objectOf({ name: isName, record: isLeaseRecord, version: isCount })],
  ['delegation-start', objectOf({ run: isCount })],
  ['delegation-cancel', objectOf({ run: isCount })],
  ['delegation-flow', objectOf({ run: isCount, paused: isFlag })],
  ['delegation-received', objectOf({ run: isCount, bytes: isCount })],
  ['delegation-progress', isAnything],
  ['crashes-reported', listOf(isCrash)],
  ['stream-versions', areStreams],
  ['stream-resumed', tupleOf(isName, isAmount)]
])

/** Form of the argument of each method. */
export const CALL_FORMS: ReadonlyMap<string, Form> = new Map([
  ['quota-ask', listOf(tupleOf(isName, isAmount, optional(isAmount)))],
  ['stand-by', objectOf({ up: listOf(isHandOver), down: listOf(isName), whole: isFlag })],
  ['hand-over', listOf(isHandOver)],
  ['keep', listOf(objectOf({ id: isName, account: isName, tokens: listOf(isText), final: objectOf({ outcome: isText }) }))],
  ['follow', isOwnedRequest],
  ['cancel', isOwnedRequest],
  ['explain', isName],
  ['claim', objectOf({ claim: objectOf({ key: isName, body: isText, request: isName, atMs: isFiniteNumber }), inMs: isWait })],
  ['config', (value) => value === undefined || value === null || isRevisionRequest(value)],
  ['store-changes', objectOf({ prefix: isName, after: isCount, era: optional(isCount), waitMs: isWait, direct: optional(isFlag) })],
  ['region-link-sample', isAnything],
  ['delegation-offer', objectOf({ pool: isName })],
  ['delegation-run', objectOf({ run: isCount, req: isProxiedRequest, account: optional(isName), pool: isName, deadlineInMs: isWait, maxAttempts: isAmount, boundTo: optional(isStreamVersion), confirms: optional(isFlag), awaitsStart: optional(isFlag) })],
  ['endpoint-probe', objectOf({ endpoint: isName })],
  ['stream-version', objectOf({ key: optional(isName), pool: optional(isName), lifeMs: isAmount, confirm: optional(isFlag), origin: optional(objectOf({ host: isText, path: isText })) })],
  ['pool-version-recorded', objectOf({ pool: isName, version: (value) => value === undefined || value === null || isText(value) })],
  ['hosts', isAnything]
])
