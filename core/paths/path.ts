/** What a daemon knows of its network path to one endpoint. */

/**
 * State of a path. `open`: requests can be sent. `checking`: evidence against it is being checked. `established-only`: open connections work, and new ones are refused. `trial`: it was
 * down and accepts connections again. `down`: the endpoint cannot be reached from here, whatever the reason.
 */
export type PathState = 'open' | 'checking' | 'established-only' | 'trial' | 'down'

/** Result of a connection attempt that checks a path. */
export type PathCheck = 'accepted' | 'refused' | 'unanswered'

/** Path to one endpoint. Times are in milliseconds on the daemon's clock. */
export interface Path {
  readonly state: PathState
  /** When the state was entered. */
  readonly sinceMs: number
  /** When the endpoint last sent anything or accepted a connection; `-Infinity` before the first time. */
  readonly activeAtMs: number
  /** When the last check of the path started; `-Infinity` before the first. */
  readonly checkedAtMs: number
}

/** Evidence against a path: a connection attempt that failed, or a connection that was lost or is silent. */
export type PathEvidence = 'connect-failed' | 'connection-silent'

/** Time between two checks of a path that was found to work and is suspected again, in milliseconds. */
const CHECK_INTERVAL_MS = 2000
/** The same after a connection was refused or not answered, in milliseconds. */
const FAILED_CONNECT_INTERVAL_MS = 200
/** Time between checks of a path that is down, in milliseconds. */
export const RECHECK_INTERVAL_MS = 500
/** An endpoint that sent something this long before a check ended is reachable over open connections, in milliseconds. */
const RECENT_MS = 300
/** Time for which a path that works again gets one request at a time, in milliseconds. */
const TRIAL_MS = 500

/** Returns the path to an endpoint of which nothing is known. */
export function newPath (now: number): Path {
  return { state: 'open', sinceMs: now, activeAtMs: -Infinity, checkedAtMs: -Infinity }
}

/** Records that the endpoint sent something. */
export function recordActivity (path: Path, now: number): Path {
  const known = { ...path, activeAtMs: now }
  if (path.state === 'trial') return enter(known, 'open', now)
  return path.state === 'down' ? enter(known, 'established-only', now) : known
}

/** Records evidence against the path. Returns the path in state `checking` if it is to be checked now. */
export function suspect (path: Path, evidence: PathEvidence, now: number): Path {
  if (path.state === 'trial') return enter(path, 'down', now)
  const intervalMs = evidence === 'connect-failed' ? FAILED_CONNECT_INTERVAL_MS : CHECK_INTERVAL_MS
  return path.state === 'open' && now - path.checkedAtMs >= intervalMs ? startCheck(path, now) : path
}

/** Returns true if a path that does not fully work is to be checked again. */
export function isRecheckDue (path: Path, now: number): boolean {
  return (path.state === 'down' || path.state === 'established-only') && now - path.checkedAtMs >= RECHECK_INTERVAL_MS
}

/** Records that a check of the path has started. */
export function checkStarted (path: Path, now: number): Path {
  return { ...path, checkedAtMs: now }
}

/** Starts a check of a path without evidence against it, together with others of its pool. */
export function startCheck (path: Path, now: number): Path {
  return enter({ ...path, checkedAtMs: now }, 'checking', now)
}

/** Applies the result of a check. */
export function checked (path: Path, result: PathCheck, now: number): Path {
  const isWorking = now - path.activeAtMs <= RECENT_MS
  if (result === 'accepted') return accepted({ ...path, activeAtMs: now }, now)
  // Packets may be lost while the path works.
  if (isWorking && result === 'unanswered') return path.state === 'checking' ? enter(path, 'open', now) : path
  return enter(path, isWorking ? 'established-only' : 'down', now)
}

function accepted (path: Path, now: number): Path {
  switch (path.state) {
    case 'down': return enter(path, 'trial', now)
    case 'checking':
    case 'established-only': return enter(path, 'open', now)
    default: return path
  }
}

/** Marks a path as down without a check of its own, because all paths that were checked beside it are. */
export function assumeDown (path: Path, now: number): Path {
  return now - path.activeAtMs <= RECENT_MS ? path : enter(path, 'down', now)
}

/** Ends a trial whose time is over. */
export function endTrial (path: Path, now: number): Path {
  return path.state === 'trial' && now - path.sinceMs >= TRIAL_MS ? enter(path, 'open', now) : path
}

function enter (path: Path, state: PathState, now: number): Path {
  return path.state === state ? path : { ...path, state, sinceMs: now }
}
