/** Share of a process's memory that may be held for callers and endpoints. */

const MB = 2 ** 20
/** Memory that the process takes after its start and some work, in bytes. */
const PROCESS_BYTES = 112 * MB
/** Memory of buffers that were let go and not collected yet, in bytes: the runtime collects them when they are about as many. */
const UNCOLLECTED_BYTES = 56 * MB
/** Memory used for each byte that is held, with the gaps between buffers. */
const BYTES_PER_HELD_BYTE = 1.5
/** Fraction of the limit that the process's peak should stay below. */
const PEAK_FRACTION = 0.8
/** Least number of bytes to be held with which a daemon can serve: a few bodies and the connections of its callers. */
const MIN_HELD_BYTES = 12 * MB

/** Least memory limit with which a daemon starts, in bytes: what the process takes while it holds nothing. */
export const MIN_LIMIT_BYTES = PROCESS_BYTES

/** Returns the bytes that may be held under a memory limit of the process, both in bytes. */
export function accountLimitBytes (limitBytes: number): number {
  return Math.max(MIN_HELD_BYTES, Math.floor((limitBytes * PEAK_FRACTION - PROCESS_BYTES - UNCOLLECTED_BYTES) / BYTES_PER_HELD_BYTE))
}
