/** Reads the bodies of callers' requests into memory, as far as there is room for them. */
import type { IncomingMessage } from 'node:http'
import type { CallerLimits } from '../../core/catalog/index.ts'
import { ByteCollector, SMALL_ENTRY_BYTES, type MemoryAccount, type MemoryEntry } from '../../core/memory/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { confirmIdle } from './_idle_timeout.ts'
import { Refusal } from './refusal.ts'

/** A body that was read. */
export interface RequestBody {
  bytes: Buffer
  /** Counts the bytes until the request needs them no more; undefined if there are none. */
  entry: MemoryEntry | undefined
}

/** Options of {@linkcode BodyReader.read}. */
export interface ReadBodyOptions {
  limits: CallerLimits
  /** Milliseconds that the request has from now on, within which its body must come. Default 60,000. */
  deadlineInMs?: number | undefined
}

/** Longest time in which a body must come, in milliseconds. */
const MAX_BODY_MS = 60_000

/** A body that waits for room. */
interface WaitingBody { bytes: number, admit (entry: MemoryEntry): void }

/** Longest time for which a body waits for room before it is read, in milliseconds; a fraction of its deadline if that is shorter. */
const MAX_WAIT_MS = 1000
const WAIT_FRACTION = 1 / 8
/** `Retry-After` for requests whose bodies have no room, in milliseconds. */
const RETRY_AFTER_MS = 1000
/** Room that a body of unknown length asks for at a time, in bytes: what one read may bring. */
const STEP_BYTES = 64 * 1024

/**
 * Reads bodies. A body of known length has room for all of it before its first byte is read, so that bodies that were begun can always be finished;
 * until then its connection is not read.
 */
export class BodyReader {
  readonly #account: MemoryAccount
  readonly #waiting: WaitingBody[] = []

  constructor (account: MemoryAccount) {
    this.#account = account
    account.onRoom = () => this.#admitWaiting()
  }

  /**
   * Reads the whole body.
   * @throws {Refusal} If the body is too large, does not come, or finds no room.
   */
  async read (req: IncomingMessage, { limits, deadlineInMs }: ReadBodyOptions): Promise<RequestBody> {
    const { 'content-length': announced, 'transfer-encoding': encoding } = req.headers
    const endsAtMs = steadyNow() + Math.min(deadlineInMs ?? MAX_BODY_MS, MAX_BODY_MS)
    if (announced === undefined && encoding === undefined) return { bytes: await readAll(req, { limits, endsAtMs, entry: undefined }), entry: undefined }
    const length = announced === undefined ? undefined : Number(announced)
    const isBounded = this.#account.isBounded
    if (isBounded && length !== undefined && length > limits.bodyBytes) throw tooLarge(limits)
    const room = length ?? STEP_BYTES
    const entry = isBounded ? await this.#roomFor(req, room, { waitMs: Math.min(MAX_WAIT_MS, (deadlineInMs ?? Infinity) * WAIT_FRACTION) }) : this.#account.open('request-body')
    try {
      const bytes = await readAll(req, { limits, endsAtMs, entry, length: isBounded ? length : undefined, hasRoom: () => !isBounded || this.#account.hasRoomFor(STEP_BYTES) })
      entry.set(bytes.length)
      entry.move('queued')
      return { bytes, entry }
    } catch (err) {
      entry.close()
      throw err
    }
  }

  async #roomFor (req: IncomingMessage, bytes: number, { waitMs }: { waitMs: number }): Promise<MemoryEntry> {
    // Small bodies do not wait behind large ones.
    if ((bytes < SMALL_ENTRY_BYTES || this.#waiting.length === 0) && this.#fits(bytes)) return this.#account.open('request-body', bytes)
    // One that never fits beside others would keep those behind it waiting.
    if (this.#account.level === 'full' || bytes > this.#account.highMarkBytes) throw noRoom(bytes)
    return await new Promise((resolve, reject) => {
      const settle = (result: () => void) => {
        clearTimeout(timer)
        req.off('close', leave)
        const at = this.#waiting.indexOf(waiting)
        if (at >= 0) this.#waiting.splice(at, 1)
        result()
        // The one behind it may fit.
        this.#admitWaiting()
      }
      const leave = () => settle(() => reject(new Error('the caller left')))
      const waiting: WaitingBody = { bytes, admit: (entry) => settle(() => resolve(entry)) }
      const timer = setTimeout(() => settle(() => reject(noRoom(bytes))), waitMs)
      req.on('close', leave)
      this.#waiting.push(waiting)
    })
  }

  /** Returns true if a body has room; one over the high mark has it only alone. */
  #fits (bytes: number): boolean {
    return this.#account.hasRoomFor(bytes) || this.#account.yieldingBytes === 0
  }

  /** Admits the first one that waits, and small ones behind it. */
  #admitWaiting (): void {
    const next = this.#waiting.find(({ bytes }, i) => (i === 0 || bytes < SMALL_ENTRY_BYTES) && this.#fits(bytes))
    next?.admit(this.#account.open('request-body', next.bytes))
  }
}

function noRoom (bytes: number): Refusal {
  return new Refusal(`no room for a body of ${bytes} bytes`, { status: 503, retryAfterMs: RETRY_AFTER_MS, bodyBytes: bytes })
}

function tooLarge ({ bodyBytes }: CallerLimits): Refusal {
  return new Refusal(`the body is over ${bodyBytes} bytes`, { status: 413 })
}

interface ReadAllOptions {
  limits: CallerLimits
  /** When the body must have come, in milliseconds on the steady clock. */
  endsAtMs: number
  entry: MemoryEntry | undefined
  /** Known length, for which the entry has room. Default: the entry grows with the body. */
  length?: number | undefined
  /** Returns false if a body of unknown length must be refused. Default: it is always read on. */
  hasRoom?: () => boolean
}

/** Reads the whole body. Its time limit ends with that of its request; the idle timeout ends a stalled one sooner. */
async function readAll (req: IncomingMessage, { limits, endsAtMs, entry, length: known, hasRoom = () => true }: ReadAllOptions): Promise<Buffer> {
  const bytes = new ByteCollector({ expectedBytes: known })
  return await new Promise((resolve, reject) => {
    // What waited while the process stood still begins the timeout anew.
    const idleTimer = setTimeout(() => confirmIdle(() => bytes.length, () => refuse(new Refusal('the body did not come', { status: 408 }))), limits.idleMs)
    // A body whose end waits to be read has come in time.
    const endTimer = setTimeout(() => setImmediate(setImmediate, () => refuse(new Refusal('the body did not come within the time of its request', { status: 408 }))), Math.max(0, endsAtMs - steadyNow()))
    const stop = () => {
      clearTimeout(idleTimer)
      clearTimeout(endTimer)
    }
    const refuse = (why: Refusal) => {
      stop()
      req.off('data', onData)
      bytes.clear()
      // What still comes of the body is dropped.
      req.resume()
      reject(why)
    }
    const onData = (part: Buffer) => {
      idleTimer.refresh()
      if (bytes.length + part.length > limits.bodyBytes) return refuse(tooLarge(limits))
      if (bytes.needsMemoryFor(part) && !hasRoom()) return refuse(noRoom(bytes.length + part.length))
      bytes.push(part)
      entry?.set(bytes.heldBytes)
    }
    req.on('data', onData)
    req.on('end', () => {
      stop()
      resolve(bytes.take())
    })
    req.on('error', reject)
    req.on('close', () => {
      stop()
      bytes.clear()
      reject(new Error('the caller left'))
    })
  })
}
