/** Passes on to all daemons which hosts are leaving, whoever noticed it first. */
import { as, type HostId } from '../../core/ids/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { log } from '../log/index.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { EndpointTable, LeavingSignal } from './endpoint_table.ts'

const FACT_PREFIX = 'leaving/'
/** Later than any time that a notice names. */
const LATEST_MS = 2 ** 43
/** Longer than any notice; a time of day that jumped on one of the two daemons shows as more. */
const LONGEST_NOTICE_MS = 120_000

/** Connects an endpoint table with the other daemons' tables. */
export function shareLeavingNews (table: EndpointTable, membership: MembershipTask): void {
  membership.onFact((fact) => {
    if (!fact.key.startsWith(FACT_PREFIX)) return
    const leftMs = Math.min(LONGEST_NOTICE_MS, Math.max(0, (fact.value as number) - Date.now()))
    table.leaving([as<HostId>(fact.key.slice(FACT_PREFIX.length))], steadyNow() + leftMs, 'peer')
  })
  table.onLeaving((leaving) => {
    for (const { view, goneAtMs, signal } of leaving) {
      const leftMs = goneAtMs - steadyNow()
      log('endpoint-leaving', { endpoint: view.id, signal, leftMs: Math.round(leftMs) })
      const goneAtWallMs = Date.now() + leftMs
      if (signal !== 'peer') membership.tell({ key: `${FACT_PREFIX}${view.hostId}`, version: versionOf(signal, goneAtWallMs), value: goneAtWallMs })
    }
  })
}

/** A notice knows the time and outranks a guess; among notices the one that is gone sooner holds. */
function versionOf (signal: LeavingSignal, goneAtMs: number): number {
  return signal === 'notice' ? LATEST_MS * 2 - goneAtMs : LATEST_MS - goneAtMs
}
