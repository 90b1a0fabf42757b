/** Splits a stream of server-sent events into complete events without changing their bytes. */

/** One event as received, including the empty line that ends it. */
export interface RawEvent {
  bytes: Buffer
  /** Id of the event if it is a number. */
  id: number | undefined
}

const NEWLINE = 0x0A
const CARRIAGE_RETURN = 0x0D
const ID_LINE = /^id: ?(\d{1,15})\r?$/m

/** Buffers bytes until an event is complete. */
export class EventSplitter {
  #remainder: Buffer = Buffer.alloc(0)

  /** Number of buffered bytes of an incomplete event. */
  get pendingBytes (): number { return this.#remainder.length }

  /** Adds bytes and returns the events that they complete. */
  push (chunk: Buffer): RawEvent[] {
    const bytes = this.#remainder.length === 0 ? chunk : Buffer.concat([this.#remainder, chunk])
    const events: RawEvent[] = []
    let from = 0
    for (let end = findEventEnd(bytes, from); end > 0; end = findEventEnd(bytes, from)) {
      events.push(parseEvent(bytes.subarray(from, end)))
      from = end
    }
    this.#remainder = bytes.subarray(from)
    return events
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
  const id = ID_LINE.exec(bytes.toString('latin1'))?.[1]
  return { bytes, id: id === undefined ? undefined : Number(id) }
}
