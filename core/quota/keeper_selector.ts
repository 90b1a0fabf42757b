/** Selects the quota keeper: the daemon that enforces quotas on behalf of this one. */
import type { DaemonId } from '../ids/index.ts'

/** Time without a message from the keeper after which another is selected, in milliseconds. */
export const KEEPER_TIMEOUT_MS = 750
/** Time for which a daemon that refused a connection is skipped, in milliseconds: by then the others have detected its failure, or it is back. */
const REFUSED_BACKOFF_MS = 4000

/** Tracks which daemons are eligible. All daemons rank the members identically and therefore select the same keeper. */
export class KeeperSelector {
  readonly #self: DaemonId
  readonly #lastHeartbeatMs = new Map<DaemonId, number>()
  readonly #refusedAtMs = new Map<DaemonId, number>()

  constructor (self: DaemonId) {
    this.#self = self
  }

  /** Records a message from a daemon. */
  recordHeartbeat (id: DaemonId, now: number): void {
    this.#lastHeartbeatMs.set(id, now)
    this.#refusedAtMs.delete(id)
  }

  /** Records that a daemon's address refused a connection, so no process listens there. */
  refused (id: DaemonId, now: number): void {
    this.#refusedAtMs.set(id, now)
    this.#lastHeartbeatMs.delete(id)
  }

  /** Reports whether a daemon's address refused a connection and no message has arrived since. */
  isGone (id: DaemonId): boolean {
    return this.#refusedAtMs.has(id)
  }

  /** Returns the highest-ranked daemon with a recent message; a daemon without any message yet is tried as well. */
  choose (ranked: readonly DaemonId[], now: number): DaemonId {
    const chosen = ranked.find((id) => id === this.#self || this.#isEligible(id, now)) ?? this.#self
    if (chosen !== this.#self && !this.#lastHeartbeatMs.has(chosen)) this.#lastHeartbeatMs.set(chosen, now)
    return chosen
  }

  #isEligible (id: DaemonId, now: number): boolean {
    if (now - (this.#refusedAtMs.get(id) ?? -Infinity) < REFUSED_BACKOFF_MS) return false
    return now - (this.#lastHeartbeatMs.get(id) ?? now) <= KEEPER_TIMEOUT_MS
  }
}
