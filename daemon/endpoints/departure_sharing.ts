/** Gossips leaving hosts to all daemons, whichever noticed them first. */
import { as, type HostId } from '../../core/ids/index.ts'
import { fromOrdinal, ordinalOf } from '../../core/store_version/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { log } from '../log/index.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { EndpointTable } from './endpoint_table.ts'
import type { LeavingSignal } from './leaving_signal.ts'

/** Key prefix of departures reported by the registry. The fact's version is the ordinal of the registry's, so a later departure of the same host replaces an earlier one. */
const DEPARTED_PREFIX = 'departed/'
/** Key prefix of departures known from other signals. */
const LEAVING_PREFIX = 'leaving/'
/** Upper bound of the times in notices, in milliseconds since the epoch. */
const MAX_WALL_MS = 2 ** 43
/** Cap on the time left, in milliseconds; longer than any notice. A larger value means that the wall clock of one of the two daemons jumped. */
const MAX_NOTICE_MS = 120_000

/** Shares departures between this daemon's endpoint table and those of the other daemons. */
export function shareDepartures (table: EndpointTable, membership: MembershipTask): void {
  membership.onFact(({ key, version, value }) => {
    if (key.startsWith(DEPARTED_PREFIX)) table.departed([hostOf(key, DEPARTED_PREFIX)], { goneAtMs: toSteadyClock(value as number), version: fromOrdinal(version), signal: 'peer' })
    else if (key.startsWith(LEAVING_PREFIX)) table.leaving([hostOf(key, LEAVING_PREFIX)], toSteadyClock(value as number), 'peer')
  })
  table.onLeaving((leaving) => {
    for (const { view, goneAtMs, version, signal } of leaving) {
      const leftMs = goneAtMs - steadyNow()
      log('endpoint-leaving', { endpoint: view.id, signal, leftMs: Math.round(leftMs) })
      if (signal === 'peer') continue
      const goneAtWallMs = Date.now() + leftMs
      if (version !== undefined) membership.publishFact({ key: DEPARTED_PREFIX + view.hostId, version: ordinalOf(version), value: goneAtWallMs })
      else membership.publishFact({ key: LEAVING_PREFIX + view.hostId, version: factVersion(signal, goneAtWallMs), value: goneAtWallMs })
    }
  })
}

function hostOf (key: string, prefix: string): HostId {
  return as<HostId>(key.slice(prefix.length))
}

function toSteadyClock (goneAtWallMs: number): number {
  return steadyNow() + Math.min(MAX_NOTICE_MS, Math.max(0, goneAtWallMs - Date.now()))
}

/** Fact version of a departure: a notice, which states the time, outranks an assumed time; otherwise the earlier departure outranks the later one. */
function factVersion (signal: LeavingSignal, goneAtMs: number): number {
  return signal === 'notice' ? MAX_WALL_MS * 2 - goneAtMs : MAX_WALL_MS - goneAtMs
}
