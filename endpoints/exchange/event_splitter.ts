/** Splits a stream of server-sent events into complete events without changing their bytes. */

import { ByteCollector } from '../../core/memory/index.ts'

/** One event as received, including the empty line that ends it. */
export interface RawEvent {
  bytes: Buffer
  /** Id of the event if it is a number. */
  id: number | undefined
  /** False for a block that has neither an id nor data, such as a comment. */
  isEvent: boolean
}

const NO_BYTES = Buffer.alloc(0)
const NEWLINE = 0x0A
const CARRIAGE_RETURN = 0x0D
/** Length of the longest end of an event, a line break and an empty line with a carriage return, without its last byte. */
const TAIL_BYTES = 2
const ID_LINE = /^id: ?(\d{1,15})\r?$/m
const DATA_LINE = /^data(:|\r?$)/m

/** Buffers bytes until an event is complete. Takes time in proportion to the bytes, however small the chunks are. */
export class EventSplitter {
  /** The incomplete event. */
  readonly #pending = new ByteCollector()
  /** The last bytes of the incomplete event, in which the empty line that ends it may begin. */
  #tail: Buffer = NO_BYTES

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes (): number { return this.#pending.length }
  /** Number of bytes of memory that an incomplete event takes. */
  get heldBytes (): number { return this.#pending.heldBytes }

  /** Adds bytes and returns the events that they complete. */
  push (chunk: Buffer): RawEvent[] {
    const events: RawEvent[] = []
    const first = this.#tail.length === 0 ? chunk : Buffer.concat([this.#tail, chunk])
    let from = findEventEnd(first, 0) - this.#tail.length
    if (from > 0) {
      events.push(parseEvent(this.#completed(chunk.subarray(0, from))))
      this.#tail = NO_BYTES
      for (let end = findEventEnd(chunk, from); end > 0; end = findEventEnd(chunk, from)) {
        events.push(parseEvent(chunk.subarray(from, end)))
        from = end
      }
    }
    this.#keep(chunk.subarray(Math.max(0, from)))
    return events
  }

  #completed (rest: Buffer): Buffer {
    if (this.#pending.length === 0) return Buffer.from(rest)
    this.#pending.push(rest)
    return this.#pending.take()
  }

  #keep (rest: Buffer): void {
    if (rest.length === 0) return
    this.#pending.push(rest)
    this.#tail = rest.length >= TAIL_BYTES ? rest.subarray(-TAIL_BYTES) : Buffer.concat([this.#tail, rest]).subarray(-TAIL_BYTES)
  }
}

/** Returns the offset after the empty line that ends an event; 0 if the event is incomplete. */
function findEventEnd (bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(NEWLINE, from); at >= 0; at = bytes.indexOf(NEWLINE, at + 1)) {
    if (bytes[at + 1] === NEWLINE) return at + 2
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === NEWLINE) return at + 3
  }
  return 0
}

function parseEvent (bytes: Buffer): RawEvent {
  const text = bytes.toString('latin1')
  const id = ID_LINE.exec(text)?.[1]
  return id === undefined ? { bytes, id, isEvent: DATA_LINE.test(text) } : { bytes, id: Number(id), isEvent: true }
}
