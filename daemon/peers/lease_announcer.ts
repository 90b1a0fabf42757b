/** Announces lease renewals to the daemons that contend for the lease. */
import type { DaemonId } from '../../core/ids/index.ts'
import type { LeasePeers, LeaseAnnouncement } from '../fleet/lease_task.ts'
import type { Links } from './links.ts'

/** Options of {@linkcode LeaseAnnouncer}. */
export interface LeaseAnnouncerOptions {
  self: DaemonId
  links: Links
  /** Daemons that contend for the lease, which may include this one. */
  contenders (): ReadonlyArray<{ id: DaemonId, address: string }>
}

const RENEWED_TOPIC = 'lease-renewed'

/** Sends and receives lease announcements over the links between daemons. */
export class LeaseAnnouncer implements LeasePeers {
  readonly #options: LeaseAnnouncerOptions

  constructor (options: LeaseAnnouncerOptions) {
    this.#options = options
  }

  announce (announcement: LeaseAnnouncement): void {
    const { self, links, contenders } = this.#options
    for (const contender of contenders()) {
      if (contender.id !== self && !links.post(contender.id, RENEWED_TOPIC, announcement)) links.connect(contender)
    }
  }

  onAnnouncement (listener: (announcement: LeaseAnnouncement) => void): void {
    this.#options.links.onPost(RENEWED_TOPIC, listener)
  }
}
