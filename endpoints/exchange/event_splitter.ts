/** Cuts a stream of server-sent events into whole events, their bytes unchanged. */

/** One event as it came. */
export interface RawEvent {
  bytes: Buffer
  /** The event's id, when it is a number. */
  id: number | undefined
}

const NEWLINE = 0x0A
const RETURN = 0x0D
const ID_LINE = /^id: ?(\d{1,15})\r?$/m

/** Collects bytes until an event is whole. */
export class EventSplitter {
  #rest: Buffer = Buffer.alloc(0)

  /** Bytes of an event that is not whole yet. */
  get pending (): number { return this.#rest.length }

  /** Takes in bytes and gives the events that they complete. */
  push (chunk: Buffer): RawEvent[] {
    const bytes = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk])
    const events: RawEvent[] = []
    let from = 0
    for (let end = endOfEvent(bytes, from); end > 0; end = endOfEvent(bytes, from)) {
      events.push(eventOf(bytes.subarray(from, end)))
      from = end
    }
    this.#rest = bytes.subarray(from)
    return events
  }
}

/** Place behind the empty line that ends an event; 0 when it has not come yet. */
function endOfEvent (bytes: Buffer, from: number): number {
  for (let at = bytes.indexOf(NEWLINE, from); at >= 0; at = bytes.indexOf(NEWLINE, at + 1)) {
    if (bytes[at + 1] === NEWLINE) return at + 2
    if (bytes[at + 1] === RETURN && bytes[at + 2] === NEWLINE) return at + 3
  }
  return 0
}

function eventOf (bytes: Buffer): RawEvent {
  const id = ID_LINE.exec(bytes.toString('latin1'))?.[1]
  return { bytes, id: id === undefined ? undefined : Number(id) }
}
