/** What daemons tell each other of themselves, and which of two tellings holds. */
import type { DaemonId, FailureDomain } from '../ids/index.ts'

/** `suspect` and `gone` are said by others; the daemon itself refutes them with a higher incarnation. */
export type MemberState = 'up' | 'draining' | 'left' | 'suspect' | 'gone'

/** One daemon, as it or its neighbours last described it. */
export interface Member {
  id: DaemonId
  /** Grows whenever the daemon changes its own record. */
  incarnation: number
  state: MemberState
  /** Where other daemons connect. */
  address: string
  failureDomain: FailureDomain
  /** Processor cores that its host gives it, as its settings say; one that does not say counts as 1. */
  cores?: number
  /** Revision of the configuration in force there. */
  revision: number
  /** Who holds its answers after it left. */
  heir: DaemonId | undefined
}

/** At one incarnation the worse state holds, since only the daemon itself can raise the incarnation. */
const RANK: Record<MemberState, number> = { up: 0, draining: 1, suspect: 2, gone: 3, left: 4 }

/**
 * Tells whether a record replaces the one known.
 *
 * Rumours arrive late, twice and out of order; incarnation and rank order them, so every daemon ends with the same record.
 */
export function replaces (arrived: Member, known: Member | undefined): boolean {
  if (!known) return true
  if (arrived.incarnation !== known.incarnation) return arrived.incarnation > known.incarnation
  return RANK[arrived.state] > RANK[known.state]
}

/** True while a daemon takes new work. */
export function takesWork (member: Member): boolean {
  return member.state === 'up'
}

/** True while a daemon can be asked for the answers it holds; suspicion is only a hint. */
export function mayAnswer (member: Member): boolean {
  return member.state === 'up' || member.state === 'draining' || member.state === 'suspect'
}
