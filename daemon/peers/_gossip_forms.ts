/** The forms of what daemons gossip. */
import { isAmount, isAnything, isCount, isFiniteNumber, isFlag, isName, isText, listOf, objectOf, oneOf, optional, type Form } from '../../core/bounds/index.ts'
import type { Fact, Gossip, Member } from '../../core/membership/index.ts'
import { isEra } from '../../core/store_version/index.ts'

/** Gossip without the entries of other forms, and how many these were. */
export interface DecodedGossip { gossip: Gossip, refused: number }

/** More than any host has. */
const MAX_CORES = 2 ** 16
const isMember = objectOf({
  id: isName,
  incarnation: isCount,
  state: oneOf('up', 'draining', 'left', 'suspect', 'gone'),
  address: isName,
  failureDomain: isName,
  cores: optional((value) => isAmount(value) && (value as number) > 0 && (value as number) <= MAX_CORES),
  revision: isCount,
  heir: optional(isName)
})

/** Versions are also sums and differences of times, which have fractions. Beyond the safe integers the next version would not be higher. */
const isVersion: Form = (value) => isFiniteNumber(value) && Math.abs(value as number) <= Number.MAX_SAFE_INTEGER
const isFact = objectOf({ key: isName, version: isVersion, value: isAnything })

const isOrder = objectOf({ pool: isName, to: isText, durationMs: isAmount })
const isRolloutRecord = objectOf({
  version: isCount,
  order: isOrder,
  progress: optional(objectOf({
    order: isOrder,
    from: isText,
    stage: oneOf('preparing', 'canary', 'switching', 'emptying', 'completed', 'rolled-back'),
    orderedAtMs: isFiniteNumber,
    stageAtMs: isFiniteNumber,
    switchedAtMs: optional(isFiniteNumber),
    granted: isAmount,
    why: isText
  }))
})

/** Facts that this version reads, by the beginning of their key. Facts of other keys are kept and passed on for the versions that read them. */
const FACT_FORMS: ReadonlyArray<readonly [prefix: string, form: Form]> = [
  ['config', objectOf({ version: isCount })],
  ['store-era', objectOf({ version: (value) => isEra(value as number) })],
  ['departed/', objectOf({ version: isCount, value: isFiniteNumber })],
  ['leaving/', objectOf({ value: isFiniteNumber })],
  ['rollout/', objectOf({ version: isCount, value: isRolloutRecord })],
  ['rollout-hold/', objectOf({ value: isName })]
]

const isGossip = objectOf({ members: listOf(isAnything), facts: listOf(isAnything), digest: optional(isCount), whole: optional(isFlag) })

/**
 * Decodes a message of gossip. Entries of another form are left out one by one: a daemon that passes the table on, such as one of an earlier version, did not write all of
 * its entries.
 * @throws {TypeError} If the message itself has another form.
 */
export function decodeGossip (value: unknown): DecodedGossip {
  if (!isGossip(value)) throw new TypeError('gossip has another form')
  const gossip = value as Gossip
  const members = keepOnly<Member>(gossip.members, isMember)
  const facts = keepOnly<Fact>(gossip.facts, isReadableFact)
  const refused = gossip.members.length - members.length + gossip.facts.length - facts.length
  return { gossip: refused === 0 ? gossip : { ...gossip, members, facts }, refused }
}

function keepOnly<T> (entries: T[], form: Form): T[] {
  return entries.every(form) ? entries : entries.filter(form)
}

function isReadableFact (fact: unknown): boolean {
  if (!isFact(fact)) return false
  const { key } = fact as Fact
  return FACT_FORMS.every(([prefix, form]) => !(prefix.endsWith('/') ? key.startsWith(prefix) : key === prefix) || form(fact))
}
