/** Compares the answers of two versions over the same period. */
import { as, type ClassName } from '../ids/index.ts'
import { newAnswerCount, slowerCount, successCount, sumCounts, timedCount, type AnswerCounts, type Answers, type ClassAnswers } from './answers.ts'
import { evidenceAbove, evidenceOfExcess, wilsonUpperBound } from './sequential.ts'

/** Aspect in which versions are compared. */
export type Measure = 'failures' | 'times'

/** Evidence against the new version for one class and measure. */
export interface Finding {
  cls: ClassName
  measure: Measure
  /** Logarithm of a likelihood ratio. */
  evidence: number
  /** Evidence without the endpoint group that contributes most to it; infinite with a single group. */
  withoutWorstGroup: number
  /** Bad answers of the new version, out of `count`. */
  bad: number
  count: number
  /** Answers of the new version that were not timed, for the times. They are not counted as evidence. */
  untimed: number
  /** Allowed proportion of bad answers, derived from the old version's answers. */
  allowed: number
}

/**
 * Result of a comparison.
 *
 * - `worse`: the evidence against the new version is sufficient.
 * - `doubtful`: the evidence would be sufficient, but nearly all of it comes from one endpoint group.
 * - `suspect`: there is some evidence.
 * - `unknown`: there is little, but the answers to some class do not rule out a gross fault.
 * - `tentative`: a gross fault is ruled out for every class.
 * - `alike`: the same, and every class has enough answers to show smaller ones.
 */
export interface Comparison {
  verdict: 'worse' | 'doubtful' | 'suspect' | 'unknown' | 'tentative' | 'alike'
  strongest: Finding | undefined
  /** Class for which a gross fault is not ruled out; undefined if there is none. */
  unjudged?: ClassName | undefined
}

/**
 * Upper bound of the probability that a version as good as the old one is ever found worse, over all classes and measures. The actual
 * probability is far lower, since the allowed proportion is an upper bound for the old version plus a margin.
 */
const FALSE_ALARM_RATE = 0.025
/** Number of checks of trailing windows per rollout, among which the false alarm rate is divided. */
const LOOKS_PER_ROLLOUT = 60
const MEASURES: readonly Measure[] = ['failures', 'times']
const MEASURE_COUNT = MEASURES.length
const ALL_CLASSES = as<ClassName>('all classes')
/** Odds against the new version at which the switch waits for more answers. */
const SUSPECT_ODDS = 10
/** Tolerated excess of failures over the old version, as a fraction of all answers. */
const FAILURE_MARGIN = 0.01
/** Fraction of the old version's answers above the slow threshold. */
const SLOW_FRACTION = 0.1
/** Tolerated excess of slow answers over the old version: a new version starts with empty caches and other batch sizes. */
const SLOW_MARGIN = 0.08
/** Minimum number of the old version's timed answers to a class for determining its slow threshold. */
const MIN_BASELINE_ANSWERS = 20
/** Weight of the failure rate over all classes in that of one class, in answers: it stands in for classes with few answers. */
const PRIOR_WEIGHT = 20
/** Answers of the new version to each class before the versions are considered alike. */
const MIN_ANSWERS_PER_CLASS = 30
/** Faults that must be ruled out before a version gets all work, as an excess of bad answers over what is allowed. Times of sound versions vary more than failures. */
const GROSS_EXCESS: Record<Measure, number> = { failures: 0.25, times: 0.4 }
/** Odds against such a fault at which it is ruled out. */
const GROSS_EXCESS_ODDS = 5
/** Fraction of a pool's answers below which a class cannot be judged within a rollout and does not delay it. */
const RARE_CLASS_FRACTION = 0.01
/** Odds that the remaining endpoint groups must show against the version if one group does: a faulty endpoint is not a faulty version. */
const OTHER_GROUPS_ODDS = 20

/**
 * Compares two versions class by class, so that a fault on one low-traffic route is not masked by the other routes, and over all classes, which
 * detects a fault on every route sooner.
 * @param answers Answers since the order.
 * @param windows Answers within trailing windows, to detect a version that degrades late.
 * @example `compareVersions(answers, history.record(answers, now)).verdict`
 */
export function compareVersions (answers: Answers, windows: readonly Answers[] = []): Comparison {
  const tests = MEASURE_COUNT * (answers.size + 1)
  const overall = findingsOf(answers)
  const threshold = Math.log(tests / FALSE_ALARM_RATE)
  const worse = strongestOf([
    ...overall.filter((finding) => isWorse(finding, threshold)),
    ...windows.flatMap(findingsOf).filter((finding) => isWorse(finding, threshold + Math.log(LOOKS_PER_ROLLOUT)))
  ])
  if (worse) return { verdict: 'worse', strongest: worse }
  const strongest = strongestOf(overall)
  if (!strongest) return { verdict: 'unknown', strongest }
  if (strongest.evidence >= threshold) return { verdict: 'doubtful', strongest }
  if (strongest.evidence >= Math.log(SUSPECT_ODDS)) return { verdict: 'suspect', strongest }
  const common = commonClasses(answers)
  const unjudged = common.find(([cls]) => !isGrossFaultRuledOut(cls, overall))?.[0]
  if (unjudged !== undefined || common.length === 0) return { verdict: 'unknown', strongest, unjudged }
  return { verdict: missingAnswers(answers).size === 0 ? 'alike' : 'tentative', strongest }
}

/** Returns true if a fault that affects many answers to a class would have shown. Without a baseline to compare times with, a slow version would not. */
function isGrossFaultRuledOut (cls: ClassName, findings: readonly Finding[]): boolean {
  const ofClass = findings.filter((finding) => finding.cls === cls)
  return ofClass.length === MEASURE_COUNT && ofClass.every(({ measure, bad, count, allowed, untimed }) => evidenceOfExcess(bad, count + untimed, { allowed, excess: GROSS_EXCESS[measure] }) <= -Math.log(GROSS_EXCESS_ODDS))
}

/**
 * Returns how many answers of the new version each class still needs for `alike`, for those that need any.
 * @param classes Classes with requests. Default: those with answers.
 */
export function missingAnswers (answers: Answers, classes: Iterable<ClassName> = answers.keys()): Map<ClassName, number> {
  const common = new Map(commonClasses(answers))
  const missing = new Map<ClassName, number>()
  for (const cls of classes) {
    const counts = answers.get(cls)
    const count = counts ? newAnswerCount(counts) : 0
    if (count < MIN_ANSWERS_PER_CLASS && (!counts || common.has(cls))) missing.set(cls, MIN_ANSWERS_PER_CLASS - count)
  }
  return missing
}

/** Returns all classes but those with so few answers that they cannot be judged. */
function commonClasses (answers: Answers): Array<[ClassName, ClassAnswers]> {
  const total = ({ old, new: groups }: ClassAnswers) => answerCount(old) + answerCount(sumCounts(groups.values()))
  const minTotal = [...answers.values()].reduce((sum, counts) => sum + total(counts), 0) * RARE_CLASS_FRACTION
  return [...answers].filter(([, counts]) => total(counts) >= minTotal)
}

function answerCount (counts: AnswerCounts): number {
  return successCount(counts) + counts.failed
}

function isWorse ({ evidence, withoutWorstGroup }: Finding, threshold: number): boolean {
  return evidence >= threshold && withoutWorstGroup >= Math.log(OTHER_GROUPS_ODDS)
}

function strongestOf (findings: readonly Finding[]): Finding | undefined {
  return findings.reduce<Finding | undefined>((best, each) => (best && best.evidence >= each.evidence ? best : each), undefined)
}

function findingsOf (answers: Answers): Finding[] {
  const pooledRate = pooledFailureRate([...answers.values()].map(({ old }) => old))
  const byClass = [...answers].flatMap(([cls, each]) => findingsOfClass(cls, each, pooledRate))
  return [...byClass, ...MEASURES.flatMap((measure) => combineClasses(byClass.filter((each) => each.measure === measure)))]
}

/** Sums the findings of all classes: the evidence of independent answers is additive. */
function combineClasses (findings: readonly Finding[]): Finding[] {
  if (findings.length < 2) return []
  const add = (pick: (finding: Finding) => number) => findings.reduce((sum, each) => sum + pick(each), 0)
  const { measure, allowed } = findings[0]!
  return [{ cls: ALL_CLASSES, measure, allowed, evidence: add((each) => each.evidence), withoutWorstGroup: add((each) => each.withoutWorstGroup), bad: add((each) => each.bad), count: add((each) => each.count), untimed: add((each) => each.untimed) }]
}

function findingsOfClass (cls: ClassName, { old, new: groups }: ClassAnswers, pooledRate: number): Finding[] {
  const threshold = slowThreshold(old)
  const findings = [buildFinding(cls, 'failures', { groups, allowed: allowedFailureRate(old, pooledRate), badOf: ({ failed }) => failed, countOf: (counts) => successCount(counts) + counts.failed })]
  if (threshold === undefined) return findings
  const allowed = Math.min(MAX_ALLOWED_RATE, wilsonUpperBound(slowerCount(old, threshold), timedCount(old)) + SLOW_MARGIN)
  return [...findings, buildFinding(cls, 'times', { groups, allowed, badOf: (counts) => slowerCount(counts, threshold), countOf: timedCount })]
}

/** Upper limit of the allowed proportion, so that a version can always be worse. */
const MAX_ALLOWED_RATE = 0.95

/** Returns the old version's failure rate over all classes. */
function pooledFailureRate (old: readonly AnswerCounts[]): number {
  const total = sumCounts(old)
  return (total.failed + 1) / (successCount(total) + total.failed + PRIOR_WEIGHT)
}

function allowedFailureRate (old: AnswerCounts, pooledRate: number): number {
  const failed = old.failed + pooledRate * PRIOR_WEIGHT
  return Math.min(MAX_ALLOWED_RATE, wilsonUpperBound(failed, successCount(old) + old.failed + PRIOR_WEIGHT) + FAILURE_MARGIN)
}

/**
 * Returns the bucket above which at most a tenth of the old version's answers lie. It is never below zero: an answer within its predicted time is
 * not slow, and among those the buckets differ by the predictions more than by the times.
 */
function slowThreshold (old: AnswerCounts): number | undefined {
  const timed = timedCount(old)
  if (timed < MIN_BASELINE_ANSWERS) return undefined
  const bucket = [...old.times.keys()].sort((a, b) => a - b).find((bucket) => slowerCount(old, bucket) <= timed * SLOW_FRACTION)
  return bucket === undefined ? undefined : Math.max(0, bucket)
}

interface MeasureInput {
  groups: ClassAnswers['new']
  allowed: number
  badOf (counts: AnswerCounts): number
  countOf (counts: AnswerCounts): number
}

function buildFinding (cls: ClassName, measure: Measure, { groups, allowed, badOf, countOf }: MeasureInput): Finding {
  const evidenceOf = (counts: AnswerCounts) => evidenceAbove(badOf(counts), countOf(counts), allowed)
  const perGroup = [...groups.values()].filter((counts) => countOf(counts) > 0)
  const total = sumCounts(perGroup)
  const otherGroups = perGroup.sort((a, b) => evidenceOf(b) - evidenceOf(a)).slice(1)
  return { cls, measure, evidence: evidenceOf(total), withoutWorstGroup: perGroup.length > 1 ? evidenceOf(sumCounts(otherGroups)) : Infinity, bad: badOf(total), count: countOf(total), untimed: measure === 'times' ? sumCounts(groups.values()).untimed : 0, allowed }
}
