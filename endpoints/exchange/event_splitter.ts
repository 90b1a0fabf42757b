/** Splits a stream of server-sent events into complete events without changing their bytes. */

/** One event as received, including the empty line that ends it. */
export interface RawEvent {
  bytes: Buffer
  /** Id of the event if it is a number. */
  id: number | undefined
  /** False for a block that has neither an id nor data, such as a comment. */
  isEvent: boolean
}

const NEWLINE = 0x0A
const CARRIAGE_RETURN = 0x0D
/** Length of the longest end of an event, a line break and an empty line with a carriage return, without its last byte. */
const TAIL_BYTES = 2
const ID_LINE = /^id: ?(\d{1,15})\r?$/m
const DATA_LINE = /^data(:|\r?$)/m

/** Buffers bytes until an event is complete. Takes time in proportion to the bytes, however small the chunks are. */
export class EventSplitter {
  /** The chunks of the incomplete event. */
  #pending: Buffer[] = []
  #pendingBytes = 0
  /** The last bytes of the incomplete event, in which the empty line that ends it may begin. */
  #tail: Buffer = Buffer.alloc(0)

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes (): number { return this.#pendingBytes }

  /** Adds bytes and returns the events that they complete. */
  push (chunk: Buffer): RawEvent[] {
    const events: RawEvent[] = []
    const first = this.#tail.length === 0 ? chunk : Buffer.concat([this.#tail, chunk])
    let from = findEventEnd(first, 0) - this.#tail.length
    if (from > 0) {
      events.push(parseEvent(Buffer.concat([...this.#pending, chunk.subarray(0, from)])))
      this.#clear()
      for (let end = findEventEnd(chunk, from); end > 0; end = findEventEnd(chunk, from)) {
        events.push(parseEvent(chunk.subarray(from, end)))
        from = end
      }
    }
    this.#keep(chunk.subarray(Math.max(0, from)))
    return events
  }

  #clear (): void {
    this.#pending = []
    this.#pendingBytes = 0
    this.#tail = Buffer.alloc(0)
  }

  #keep (rest: Buffer): void {
    if (rest.length === 0) return
    this.#pending.push(rest)
    this.#pendingBytes += rest.length
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
