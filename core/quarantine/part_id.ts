/** Identifies parts of prompts, to recognise what requests that differ have in common. */
import { as, type Fingerprint, type PartId, type PoolName, type Suspect } from '../ids/index.ts'

const PREFIX = 'part-'
const SEPARATOR = '@'

/**
 * Returns the id of a prompt part as a pool runs it: a part that crashes the endpoints of one pool may be harmless to those of another.
 * @example `partId('llm', '5c1e07a2')` gives `part-5c1e07a2@llm`.
 */
export function partId (pool: PoolName, key: string): PartId {
  return as(`${PREFIX}${key}${SEPARATOR}${pool}`)
}

/** Returns whether a suspect is a part of prompts, and not one request. */
export function isPart (suspect: Suspect): suspect is PartId {
  return suspect.startsWith(PREFIX)
}

/** Returns the suspects that are whole requests. */
export function requestsAmong (suspects: ReadonlySet<Suspect>): Set<Fingerprint> {
  return new Set([...suspects].filter((suspect) => !isPart(suspect)) as Fingerprint[])
}
