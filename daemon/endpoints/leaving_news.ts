/** Passes on to all daemons which hosts are leaving, whoever noticed it first. */
import { as, type HostId } from '../../core/ids/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { log } from '../log/index.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { EndpointTable, LeavingSignal } from './endpoint_table.ts'

/** Departures that the registry shows, as of its version: a later one of the same host outranks an earlier one. */
const DEPARTED_PREFIX = 'departed/'
/** Departures that anybody else told of. */
const LEAVING_PREFIX = 'leaving/'
/** Later than any time that a notice names. */
const LATEST_MS = 2 ** 43
/** Longer than any notice; a time of day that jumped on one of the two daemons shows as more. */
const LONGEST_NOTICE_MS = 120_000

/** Connects an endpoint table with the other daemons' tables. */
export function shareLeavingNews (table: EndpointTable, membership: MembershipTask): void {
  membership.onFact(({ key, version, value }) => {
    if (key.startsWith(DEPARTED_PREFIX)) table.departed([hostOf(key, DEPARTED_PREFIX)], { goneAtMs: onSteadyClock(value as number), version, signal: 'peer' })
    else if (key.startsWith(LEAVING_PREFIX)) table.leaving([hostOf(key, LEAVING_PREFIX)], onSteadyClock(value as number), 'peer')
  })
  table.onLeaving((leaving) => {
    for (const { view, goneAtMs, version, signal } of leaving) {
      const leftMs = goneAtMs - steadyNow()
      log('endpoint-leaving', { endpoint: view.id, signal, leftMs: Math.round(leftMs) })
      if (signal === 'peer') continue
      const goneAtWallMs = Date.now() + leftMs
      if (version !== undefined) membership.tell({ key: DEPARTED_PREFIX + view.hostId, version, value: goneAtWallMs })
      else membership.tell({ key: LEAVING_PREFIX + view.hostId, version: versionOf(signal, goneAtWallMs), value: goneAtWallMs })
    }
  })
}

function hostOf (key: string, prefix: string): HostId {
  return as<HostId>(key.slice(prefix.length))
}

function onSteadyClock (goneAtWallMs: number): number {
  return steadyNow() + Math.min(LONGEST_NOTICE_MS, Math.max(0, goneAtWallMs - Date.now()))
}

/** A notice knows the time and outranks a guess; among notices the one that is gone sooner holds. */
function versionOf (signal: LeavingSignal, goneAtMs: number): number {
  return signal === 'notice' ? LATEST_MS * 2 - goneAtMs : LATEST_MS - goneAtMs
}
