/** Follows the platform's host list and reclaim notices. */
import { CloudError, type Cloud, type ListedHost } from '../../endpoints/index.ts'
import type { EndpointTable } from './endpoint_table.ts'
import { shareDepartures } from './departure_sharing.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import { delay, steadyNow } from '../../core/time/index.ts'
import { guarded, reportTaskError } from '../tasks/index.ts'

/** Options of {@linkcode HostWatch}. */
export interface HostWatchOptions {
  cloud: Cloud
  table: EndpointTable
  membership: MembershipTask
  random: () => number
  /** Time between reads of the host list with up to 40 daemons, in milliseconds; grows in proportion to their number above that. Default 2,000. */
  listEveryMs?: number
  /** Called after each host list that was applied. */
  onListed?: () => void
}

const LIST_EVERY_MS = 2000
const NOTICE_WAIT_MS = 20_000
/** Up to this many daemons, each reads the list once per period; with more, the period grows so that the total request rate stays the same. */
const FULL_RATE_DAEMONS = 40
const RETRY_MS = 500

/** Reads the host list periodically, waits for reclaim notices, and shares leaving hosts with the other daemons. */
export class HostWatch {
  readonly #options: HostWatchOptions
  #stopped = false
  #lastList: ListedHost[] = []

  constructor (options: HostWatchOptions) {
    this.#options = options
    options.membership.links.handle('hosts', async () => this.#lastList)
    shareDepartures(options.table, options.membership)
    options.membership.onMember(() => { if (options.table.all.length === 0) this.#fetchFromPeers() })
  }

  /** Reads the list once, then follows the list and the notices in the background. */
  async start (): Promise<void> {
    await this.#refresh()
    guarded('host-watch', () => this.#followList())()
    guarded('host-watch', () => this.#followNotices())()
  }

  /** Stops following. */
  stop (): void {
    this.#stopped = true
  }

  async #followList (): Promise<void> {
    const everyMs = this.#options.listEveryMs ?? LIST_EVERY_MS
    while (!this.#stopped) {
      // A leaving host that one daemon sees is shared with all, so the more daemons there are, the less often each needs to read.
      const periods = Math.max(1, this.#options.membership.acceptingWork.length / FULL_RATE_DAEMONS)
      await delay(everyMs * periods * (0.75 + this.#options.random() / 2))
      await this.#refresh().catch((err: unknown) => reportTaskError('host-watch', err))
    }
  }

  async #refresh (): Promise<void> {
    const hosts = await this.#fetchFromCloud()
    if (hosts.length === 0) return await this.#fetchFromPeers()
    this.#apply(hosts)
  }

  async #fetchFromCloud (): Promise<ListedHost[]> {
    try {
      return await this.#options.cloud.hosts()
    } catch (err) {
      if (!(err instanceof CloudError)) throw err
      return []
    }
  }

  /** Gets the last list of another daemon: without it, a daemon that starts while the cloud returns no list would know no endpoints. */
  async #fetchFromPeers (): Promise<void> {
    const { membership, table } = this.#options
    for (const id of membership.core.neighbours) {
      if (table.all.length > 0) return
      const hosts = await membership.links.call(membership.core.member(id)!, 'hosts', null).catch(() => []) as ListedHost[]
      if (hosts.length > 0) this.#apply(hosts)
    }
  }

  #apply (hosts: ListedHost[]): void {
    this.#lastList = hosts
    this.#options.table.applyHostList(hosts)
    this.#options.onListed?.()
  }

  async #followNotices (): Promise<void> {
    let serial = 0
    while (!this.#stopped) {
      try {
        for (const notice of await this.#options.cloud.notices(serial, NOTICE_WAIT_MS)) {
          serial = Math.max(serial, notice.serial)
          this.#options.table.leaving(notice.hosts, steadyNow() + notice.goneAtMs - Date.now(), 'notice')
        }
      } catch (err) {
        if (!(err instanceof CloudError)) reportTaskError('host-watch', err)
        await delay(RETRY_MS * (1 + this.#options.random()))
      }
    }
  }
}
