/** Reads the positions of a stream's events from their ids. */
import { ByteCollector } from '../../core/memory/index.ts'
import type { RawEvent } from './event_splitter.ts'

/** Options of {@linkcode EventPositions}. */
export interface EventPositionsOptions {
  /** Position of the first event. */
  from: number
  /** True if the events of the stream are known to have ids. Default: false. */
  haveIds?: boolean
}

/** Bytes with the position of the event that they end with. */
export interface PlacedEvent { offset: number, bytes: Buffer }

/**
 * Gives each event its position: its id, less one.
 *
 * A block without an id has none. It goes with the event that follows it, so that a run at another endpoint, which goes on after an event, repeats and omits nothing. Only in a stream whose events
 * have no ids are they counted.
 */
export class EventPositions {
  #next: number
  #haveIds: boolean
  /** Number of events that were counted. */
  #counted = 0
  readonly #waiting = new ByteCollector()

  constructor ({ from, haveIds = false }: EventPositionsOptions) {
    this.#next = from
    this.#haveIds = haveIds
  }

  /** Position after the last event. */
  get next (): number { return this.#next }
  /** Number of bytes of blocks that wait for the event that they go with. */
  get waitingBytes (): number { return this.#waiting.length }
  /** Number of bytes of memory that these take. */
  get heldBytes (): number { return this.#waiting.heldBytes }

  /** Returns an event with its position and the blocks before it; undefined for a block that waits, `misplaced` for an event whose position was given to one that was counted. */
  place (event: RawEvent): PlacedEvent | 'misplaced' | undefined {
    if (event.id === undefined && (this.#haveIds || !event.isEvent)) {
      this.#waiting.push(event.bytes)
      return undefined
    }
    const offset = event.id === undefined ? this.#next : event.id - 1
    const isRepeat = offset < this.#next
    if (isRepeat && this.#counted > 0) return 'misplaced'
    if (event.id === undefined) this.#counted++
    else this.#haveIds = true
    this.#next = offset + 1
    return { offset, bytes: isRepeat ? event.bytes : this.#withWaiting(event.bytes) }
  }

  /** Takes out the blocks after the last event; undefined if there are none. */
  takeRest (): Buffer | undefined {
    return this.#waiting.length === 0 ? undefined : this.#withWaiting(Buffer.alloc(0))
  }

  #withWaiting (bytes: Buffer): Buffer {
    if (this.#waiting.length === 0) return bytes
    this.#waiting.push(bytes)
    return this.#waiting.take()
  }
}
