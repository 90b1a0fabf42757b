/** Follows the platform's host list and reclaim notices. */
import { as, type HostId } from '../core/ids/index.ts'
import { CloudError, type Cloud } from '../endpoints/index.ts'
import type { EndpointTable } from './endpoint_table.ts'
import { logOf } from './log.ts'
import type { MembershipTask } from './membership_task.ts'
import { delay } from '../core/time/index.ts'

/** Options of {@linkcode HostWatch}. */
export interface HostWatchOptions {
  cloud: Cloud
  table: EndpointTable
  membership: MembershipTask
  random: () => number
  /** Milliseconds between readings of the list. Default 2,000. */
  listEveryMs?: number
  /** Called after each reading of the list. */
  onListed?: () => void
}

const LIST_EVERY_MS = 2000
const NOTICE_WAIT_MS = 20_000
const RETRY_MS = 500
const FACT_PREFIX = 'leaving/'
const log = logOf('hosts')

/** Reads the list now and then, waits for notices, and passes leaving hosts on to the other daemons. */
export class HostWatch {
  readonly #options: HostWatchOptions
  #stopped = false

  constructor (options: HostWatchOptions) {
    this.#options = options
    options.membership.onFact((fact) => {
      if (fact.key.startsWith(FACT_PREFIX)) options.table.leaving([as<HostId>(fact.key.slice(FACT_PREFIX.length))], fact.value as number, 'peer')
    })
    options.table.onLeaving((leaving) => {
      for (const { view, goneAtMs, signal } of leaving) {
        log('leaving', { endpoint: view.id, signal, inMs: goneAtMs - Date.now() })
        if (signal !== 'peer') options.membership.tell({ key: `${FACT_PREFIX}${view.hostId}`, version: versionOf(signal, goneAtMs), value: goneAtMs })
      }
    })
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
      await delay(everyMs * (0.75 + this.#options.random() / 2))
      await this.#list()
    }
  }

  async #list (): Promise<void> {
    try {
      this.#options.table.listed(await this.#options.cloud.hosts())
      this.#options.onListed?.()
    } catch (err) {
      if (!(err instanceof CloudError)) throw err
    }
  }

  async #followNotices (): Promise<void> {
    let serial = 0
    while (!this.#stopped) {
      try {
        for (const notice of await this.#options.cloud.notices(serial, NOTICE_WAIT_MS)) {
          serial = Math.max(serial, notice.serial)
          this.#options.table.leaving(notice.hosts, notice.goneAtMs, 'notice')
        }
      } catch (err) {
        if (!(err instanceof CloudError)) throw err
        await delay(RETRY_MS * (1 + this.#options.random()))
      }
    }
  }
}

/** A notice knows the time and outranks a guess; among notices the one that is gone sooner holds. */
function versionOf (signal: string, goneAtMs: number): number {
  return signal === 'notice' ? LATEST_MS * 2 - goneAtMs : LATEST_MS - goneAtMs
}

/** Later than any time that a notice names. */
const LATEST_MS = 2 ** 43
