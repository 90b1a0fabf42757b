/** Follows the platform's host list and reclaim notices. */
import { CloudError, type Cloud, type ListedHost } from '../../endpoints/index.ts'
import type { EndpointTable } from './endpoint_table.ts'
import { shareLeavingNews } from './leaving_news.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import { delay, steadyNow } from '../../core/time/index.ts'

/** Options of {@linkcode HostWatch}. */
export interface HostWatchOptions {
  cloud: Cloud
  table: EndpointTable
  membership: MembershipTask
  random: () => number
  /** Milliseconds between readings of the list, up to 40 daemons; in proportion to their number above. Default 2,000. */
  listEveryMs?: number
  /** Called after each reading of the list. */
  onListed?: () => void
}

const LIST_EVERY_MS = 2000
const NOTICE_WAIT_MS = 20_000
/** Daemons that together read the list once each in its period; with more, all read it more rarely. */
const READERS = 40
const RETRY_MS = 500

/** Reads the list now and then, waits for notices, and passes leaving hosts on to the other daemons. */
export class HostWatch {
  readonly #options: HostWatchOptions
  #stopped = false
  #lastList: ListedHost[] = []

  constructor (options: HostWatchOptions) {
    this.#options = options
    options.membership.links.handle('hosts', async () => this.#lastList)
    shareLeavingNews(options.table, options.membership)
    options.membership.onMember(() => { if (options.table.all.length === 0) this.#listOfPeers() })
  }

  /** Reads the list once, then goes on by itself. */
  async start (): Promise<void> {
    await this.#list()
    this.#followList()
    this.#followNotices()
  }

  /** Stops following. */
  stop (): void {
    this.#stopped = true
  }

  async #followList (): Promise<void> {
    const everyMs = this.#options.listEveryMs ?? LIST_EVERY_MS
    while (!this.#stopped) {
      // What one daemon reads of hosts that leave, all hear: the more daemons there are, the more rarely each needs to look.
      const turns = Math.max(1, this.#options.membership.working.length / READERS)
      await delay(everyMs * turns * (0.75 + this.#options.random() / 2))
      await this.#list()
    }
  }

  async #list (): Promise<void> {
    const hosts = await this.#listOfCloud()
    if (hosts.length === 0) return await this.#listOfPeers()
    this.#take(hosts)
  }

  async #listOfCloud (): Promise<ListedHost[]> {
    try {
      return await this.#options.cloud.hosts()
    } catch (err) {
      if (!(err instanceof CloudError)) throw err
      return []
    }
  }

  /** A daemon that starts while the cloud gives no list would know no endpoint; any other daemon's last list will do. */
  async #listOfPeers (): Promise<void> {
    const { membership, table } = this.#options
    for (const id of membership.core.neighbours) {
      if (table.all.length > 0) return
      const hosts = await membership.links.call(membership.core.member(id)!, 'hosts', null).catch(() => []) as ListedHost[]
      if (hosts.length > 0) this.#take(hosts)
    }
  }

  #take (hosts: ListedHost[]): void {
    this.#lastList = hosts
    this.#options.table.listed(hosts)
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
        if (!(err instanceof CloudError)) throw err
        await delay(RETRY_MS * (1 + this.#options.random()))
      }
    }
  }
}
