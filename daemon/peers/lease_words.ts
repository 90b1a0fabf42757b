/** Carries the words of a lease's holder to the daemons that would follow it. */
import type { DaemonId } from '../../core/ids/index.ts'
import type { LeasePeers, LeaseWord } from '../fleet/lease_task.ts'
import type { Links } from './links.ts'

/** Options of {@linkcode LeaseWords}. */
export interface LeaseWordsOptions {
  self: DaemonId
  links: Links
  /** Daemons that contend for the lease. */
  contenders (): ReadonlyArray<{ id: DaemonId, address: string }>
}

const RENEWED = 'lease-renewed'

/** Words of leases over the links between daemons. */
export class LeaseWords implements LeasePeers {
  readonly #options: LeaseWordsOptions

  constructor (options: LeaseWordsOptions) {
    this.#options = options
  }

  tell (word: LeaseWord): void {
    const { self, links, contenders } = this.#options
    for (const contender of contenders()) {
      if (contender.id !== self && !links.post(contender.id, RENEWED, word)) links.connect(contender)
    }
  }

  onWord (hear: (word: LeaseWord) => void): void {
    this.#options.links.onPost(RENEWED, hear)
  }
}
