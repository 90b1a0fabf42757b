/** Audit trail of changes, kept in the store. */
import type { Change } from '../../core/config/index.ts'
import { isStoreFailure, StoreError, type ObjectStore } from '../../store/index.ts'

/** Kind of change that a record describes. */
export type AuditKind = 'config' | 'config-refused' | 'config-unsure' | 'order' | 'cloud' | 'drain' | 'release'

/** One audit record, as stored. */
export interface AuditRecord {
  kind: AuditKind
  /** Identifies the attempt; unique. */
  id: string
  /** Name of the operator, or id of the daemon for orders that it gives itself. */
  who: string
  /** Milliseconds since the epoch. */
  atMs: number
  fromRevision?: number
  toRevision?: number
  /** The change itself. */
  what: unknown
}

/** Selects the records to read. */
export interface AuditFilter { kind?: AuditKind, who?: string, fromMs?: number, toMs?: number }

const KEY_DIGITS = 15
const PAGE_SIZE = 200
const KINDS: readonly AuditKind[] = ['config', 'config-refused', 'config-unsure', 'order', 'cloud', 'drain', 'release']

/** Writes audit records to the store and reads them back. */
export class AuditTrail {
  readonly #store: ObjectStore
  readonly #pending: AuditRecord[] = []

  constructor (store: ObjectStore) {
    this.#store = store
  }

  /** Number of records that are not written to the store yet. */
  get unwritten (): number { return this.#pending.length }

  /** Writes a record, or keeps it for the next flush if the store fails. The change itself does not depend on the record. */
  async write (record: AuditRecord): Promise<void> {
    this.#pending.push(record)
    await this.flush()
  }

  /** Writes the pending records in order, up to the first that fails. */
  async flush (): Promise<void> {
    for (let next = this.#pending[0]; next; next = this.#pending[0]) {
      if (!await this.#create(next)) return
      this.#pending.shift()
    }
  }

  /**
   * Writes missing records of accepted changes.
   *
   * A daemon that crashes between the conditional update and writing the record would leave a change without an author. The accepted value
   * therefore carries its last changes, so that any daemon can write their records. The key is the revision, so several daemons that do so
   * write one record.
   */
  async restoreMissing (changes: readonly Change[]): Promise<void> {
    for (const change of changes) {
      const { id, operator, atMs, fromRevision, toRevision, diff } = change
      await this.write({ kind: 'config', id, who: operator, atMs, fromRevision, toRevision, what: diff })
    }
  }

  /** Reads the matching records, oldest first. */
  async read (filter: AuditFilter = {}): Promise<AuditRecord[]> {
    const kinds = filter.kind ? [filter.kind] : KINDS
    const all: AuditRecord[] = []
    for (const kind of kinds) all.push(...await this.#readKind(kind))
    const matching = all.filter((record) => matches(record, filter))
    return matching.sort((a, b) => a.atMs - b.atMs)
  }

  async #readKind (kind: AuditKind): Promise<AuditRecord[]> {
    const records: AuditRecord[] = []
    let after = ''
    for (;;) {
      const page = await this.#store.list(`audit/${kind}/`, { after, limit: PAGE_SIZE })
      records.push(...page.map((object) => JSON.parse(object.value) as AuditRecord))
      if (page.length < PAGE_SIZE) return records
      after = page.at(-1)!.key
    }
  }

  /** Returns true if the record is stored; a conflict means that it was stored before. */
  async #create (record: AuditRecord): Promise<boolean> {
    const order = record.kind === 'config' ? record.toRevision! : record.atMs
    const suffix = record.kind === 'config' ? '' : `-${record.id}`
    const key = `audit/${record.kind}/${String(order).padStart(KEY_DIGITS, '0')}${suffix}`
    try {
      await this.#store.create(key, JSON.stringify(record))
      return true
    } catch (err) {
      if (!(err instanceof StoreError)) throw err
      return isStoreFailure(err, 'conflict')
    }
  }
}

function matches (record: AuditRecord, filter: AuditFilter): boolean {
  return (filter.who === undefined || record.who === filter.who) &&
    record.atMs >= (filter.fromMs ?? 0) && record.atMs <= (filter.toMs ?? Infinity)
}
