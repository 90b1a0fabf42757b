/** Sends records of streams to the daemons that hold them. */
import type { DaemonId, StreamKey } from '../../core/ids/index.ts'
import type { Member } from '../../core/membership/index.ts'
import type { Hash32 } from '../../core/routing/index.ts'
import { HOLDER_COUNT, rankHolders, type VersionRecord } from '../../core/streams/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { Metrics } from '../metrics.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import { encodeRecords, RECORDS_TOPIC } from './_messages.ts'

/** Options of {@linkcode RecordSender}. */
export interface RecordSenderOptions {
  self: DaemonId
  membership: Pick<MembershipTask, 'links' | 'acceptingWork'>
  hash: Hash32
  metrics: Pick<Metrics, 'streamRecords'>
}

/** A stream and its record. */
export type KeyedRecord = readonly [StreamKey, VersionRecord]

/** Sends each record to {@linkcode HOLDER_COUNT} daemons. One that cannot be linked is replaced by the next in rank. */
export class RecordSender {
  readonly #options: RecordSenderOptions

  constructor (options: RecordSenderOptions) {
    this.#options = options
  }

  /** Sends records; those for the same daemon go together. */
  send (records: readonly KeyedRecord[]): void {
    const { self, membership, hash } = this.#options
    const others = membership.acceptingWork.filter(({ id }) => id !== self)
    const batches = new Map<Member, KeyedRecord[]>()
    for (const record of records) {
      const ranked = rankHolders(record[0], others, { hash })
      const substitutes = ranked.slice(HOLDER_COUNT)
      for (const holder of ranked.slice(0, HOLDER_COUNT)) {
        if (this.#isLinked(holder)) batches.set(holder, [...batches.get(holder) ?? [], record])
        else this.#linkAndSend(holder, { record, substitutes })
      }
    }
    for (const [holder, batch] of batches) this.#post(holder, batch)
  }

  #isLinked ({ id }: Member): boolean {
    return this.#options.membership.links.isLinked(id)
  }

  /** Each substitute is used once for a record, since all of its holders take theirs from the same list. */
  async #linkAndSend (holder: Member, { record, substitutes }: { record: KeyedRecord, substitutes: Member[] }): Promise<void> {
    for (let next: Member | undefined = holder; next; next = substitutes.shift()) {
      if (this.#isLinked(next) || await this.#options.membership.links.connect(next) === 'linked') return this.#post(next, [record])
    }
    this.#options.metrics.streamRecords.inc({ result: 'not-sent' })
  }

  #post ({ id }: Member, records: readonly KeyedRecord[]): void {
    for (const message of encodeRecords(records, steadyNow())) this.#options.membership.links.post(id, RECORDS_TOPIC, message)
    this.#options.metrics.streamRecords.inc({ result: 'sent' }, records.length)
  }
}
