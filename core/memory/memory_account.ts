/** Account of the bytes that one process holds for others, by what they are for. */

import { SMALL_ENTRY_BYTES } from './eviction.ts'

/** What bytes are held for: a body that is being read, one that waits to be sent, one that is being sent, an answer that its caller has not taken, or a connection. */
export type MemoryKind = 'request-body' | 'queued' | 'sending' | 'answer' | 'connection'

/** All kinds of {@linkcode MemoryKind}. */
export const MEMORY_KINDS: readonly MemoryKind[] = ['request-body', 'queued', 'sending', 'answer', 'connection']

/** `high` from the high mark on until the sum is back at the low mark; `full` from the limit on until it is below the high mark. */
export type MemoryLevel = 'normal' | 'high' | 'full'

/** Options of {@linkcode MemoryAccount}. */
export interface MemoryAccountOptions {
  /** Bytes that may be held. Default: not bounded. */
  limitBytes?: number | undefined
  /** Called when the level changes. */
  onLevel?: (level: MemoryLevel, before: MemoryLevel) => void
}

/** Fraction of the limit from which on entries are ended and bodies wait. */
const HIGH_MARK = 0.75
/** Fraction of the limit below which that stops; answers' windows shrink towards it. */
const LOW_MARK = 0.5

/** What an entry tells its account. */
interface EntrySink {
  /** Adds bytes of a kind. */
  change (kind: MemoryKind, bytes: number): void
  /** Counts bytes as another kind; the sum stays. */
  move (bytes: number, from: MemoryKind, to: MemoryKind): void
}

/** Bytes of one owner. It changes them as it takes and gives back memory, and closes the entry at the end. */
export class MemoryEntry {
  readonly #sink: EntrySink
  #kind: MemoryKind
  #bytes: number
  #closed = false

  constructor (kind: MemoryKind, bytes: number, sink: EntrySink) {
    this.#kind = kind
    this.#bytes = bytes
    this.#sink = sink
    sink.change(kind, bytes)
  }

  get kind (): MemoryKind { return this.#kind }
  get bytes (): number { return this.#bytes }

  /** Sets the number of bytes held; ignored once the entry is closed. */
  set (bytes: number): void {
    if (this.#closed || bytes === this.#bytes) return
    const grown = bytes - this.#bytes
    this.#bytes = bytes
    this.#sink.change(this.#kind, grown)
  }

  /** Counts the bytes as another kind from now on; connections stay what they are. */
  move (kind: Exclude<MemoryKind, 'connection'>): void {
    if (this.#closed || kind === this.#kind) return
    this.#sink.move(this.#bytes, this.#kind, kind)
    this.#kind = kind
  }

  /** Gives all bytes back; later changes are ignored. */
  close (): void {
    this.set(0)
    this.#closed = true
  }
}

/** Sum of all entries, against a limit. */
export class MemoryAccount {
  readonly limitBytes: number
  readonly #held: Record<MemoryKind, number> = { 'request-body': 0, queued: 0, sending: 0, answer: 0, connection: 0 }
  readonly #onLevel: MemoryAccountOptions['onLevel']
  #sum = 0
  #level: MemoryLevel = 'normal'
  /** Called after bytes were given back. */
  onRoom: () => void = () => {}

  constructor ({ limitBytes = Infinity, onLevel }: MemoryAccountOptions = {}) {
    this.limitBytes = limitBytes
    this.#onLevel = onLevel
  }

  get heldBytes (): number { return this.#sum }
  /** Bytes held without those of connections: what bodies and answers take and can give back. Marks and room are about these. */
  get yieldingBytes (): number { return this.#sum - this.#held.connection }
  get level (): MemoryLevel { return this.#level }
  get isBounded (): boolean { return this.limitBytes !== Infinity }
  get highMarkBytes (): number { return this.limitBytes * HIGH_MARK }
  get lowMarkBytes (): number { return this.limitBytes * LOW_MARK }

  /** Bytes held of one kind. */
  bytesOf (kind: MemoryKind): number {
    return this.#held[kind]
  }

  /** Returns true if as many more bytes stay within the high mark, or within the limit if they are few. */
  hasRoomFor (bytes: number): boolean {
    return this.yieldingBytes + bytes <= (bytes < SMALL_ENTRY_BYTES ? this.limitBytes : this.highMarkBytes)
  }

  /** Opens an entry. The owner must ask {@linkcode MemoryAccount.hasRoomFor} before it takes what it can do without. */
  open (kind: MemoryKind, bytes = 0): MemoryEntry {
    return new MemoryEntry(kind, bytes, this.#sink)
  }

  readonly #sink: EntrySink = {
    change: (kind, bytes) => this.#change(kind, bytes),
    move: (bytes, from, to) => {
      this.#held[from] -= bytes
      this.#held[to] += bytes
    }
  }

  #change (kind: MemoryKind, bytes: number): void {
    this.#held[kind] += bytes
    this.#sum += bytes
    if (!this.isBounded) return
    const level = this.#levelNow()
    const before = this.#level
    this.#level = level
    if (level !== before) this.#onLevel?.(level, before)
    if (bytes < 0) this.onRoom()
  }

  #levelNow (): MemoryLevel {
    const bytes = this.yieldingBytes
    if (bytes >= this.limitBytes) return 'full'
    if (bytes >= this.highMarkBytes) return this.#level === 'full' ? 'full' : 'high'
    return this.#level !== 'normal' && bytes > this.lowMarkBytes ? 'high' : 'normal'
  }
}
