/** Member records that daemons gossip, and the rule by which two versions of a record are merged. */
import type { DaemonId, FailureDomain } from '../ids/index.ts'

/** State of a member. `suspect` and `gone` are set by other daemons; the member itself refutes them with a higher incarnation. */
export type MemberState = 'up' | 'draining' | 'left' | 'suspect' | 'gone'

/** Record of one daemon, as it or its neighbours last published it. */
export interface Member {
  id: DaemonId
  /** Incremented by the daemon itself with each change to its record. */
  incarnation: number
  state: MemberState
  /** Address that other daemons connect to. */
  address: string
  failureDomain: FailureDomain
  /** Processor cores available on its host, from its settings. Default 1. */
  cores?: number
  /** Configuration revision in force at the daemon. */
  revision: number
  /** Daemon that holds its answers after it left. */
  heir: DaemonId | undefined
}

/** Precedence of states within one incarnation: the worse state wins, since only the daemon itself can raise the incarnation. */
const STATE_PRECEDENCE: Record<MemberState, number> = { up: 0, draining: 1, suspect: 2, gone: 3, left: 4 }

/**
 * Returns true if a received record replaces the known one.
 *
 * Gossip may arrive late, duplicated and out of order. Incarnation and state precedence order the records, so that all daemons converge on the same one.
 */
export function supersedes (arrived: Member, known: Member | undefined): boolean {
  if (!known) return true
  if (arrived.incarnation !== known.incarnation) return arrived.incarnation > known.incarnation
  return STATE_PRECEDENCE[arrived.state] > STATE_PRECEDENCE[known.state]
}

/** Returns true while a daemon accepts new work. */
export function acceptsWork (member: Member): boolean {
  return member.state === 'up'
}

/** Returns true while a daemon can be asked for the answers that it holds. A suspect is included, since suspicion is only a hint. */
export function isPresumedAlive (member: Member): boolean {
  return member.state === 'up' || member.state === 'draining' || member.state === 'suspect'
}
