/** Sends an answer to its caller's connection as fast as the caller takes it, and holds no more than a window of it. */
import type { ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { answerWindowBytes, MIN_WINDOW_BYTES, SMALL_ENTRY_BYTES, type MemoryEntry } from '../../core/memory/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { HeldAnswer, MemoryGuard } from '../memory/index.ts'
import type { RequestTask } from '../request/request_task.ts'

/** Largest number of bytes handed to the connection before it has taken them; the rest waits, so that progress can be seen. */
const MAX_PENDING_BYTES = 64 * 1024
/** What is read of an answer beyond its pause, in bytes: one read of the system, of which the parser has taken a part. */
const READ_AHEAD_BYTES = 64 * 1024

/** Writes the bytes of one answer; pauses its source while a window of them waits. Without a memory limit bytes are written at once, and nothing pauses. */
export class AnswerSender implements HeldAnswer {
  readonly #res: ServerResponse
  readonly #task: RequestTask<Buffer>
  readonly #guard: MemoryGuard
  readonly #queue: Buffer[] = []
  #queuedBytes = 0
  #ended = false
  #closed = false
  /** Opened once enough bytes are held to be worth counting. */
  #entry: MemoryEntry | undefined
  /** Bytes that the system had not taken when last looked at. */
  #unsentBytes = 0
  paused = false
  takenAtMs = 0

  constructor (res: ServerResponse, task: RequestTask<Buffer>, guard: MemoryGuard) {
    this.#res = res
    this.#task = task
    this.#guard = guard
    res.on('close', () => this.#close())
  }

  get heldBytes (): number { return this.#queuedBytes + this.#res.writableLength }

  /** Writes to a destroyed response call back at once, before it is closed. */
  get #gone (): boolean { return this.#closed || this.#res.destroyed }

  get repeatable (): boolean {
    const { state, work } = this.#task
    return state.traits.idempotent || work.cls.resumable
  }

  /** Sends bytes. */
  push (bytes: Buffer): void {
    if (this.#gone) return
    if (!this.#guard.account.isBounded) {
      this.#res.write(bytes)
      return
    }
    if (this.heldBytes === 0) this.takenAtMs = steadyNow()
    this.#queue.push(bytes)
    this.#queuedBytes += bytes.length
    this.#flush()
  }

  /** Ends the response once everything was handed over. */
  end (): void {
    this.#ended = true
    if (this.#guard.account.isBounded) this.#flush()
    else this.#res.end()
  }

  observe (now: number): void {
    // What the connection has taken of one write shows only in the handle's queue; a slow caller takes seconds for it.
    const socket = this.#res.socket as (Socket & { _handle?: { writeQueueSize?: number } }) | null
    const unsentBytes = socket?._handle?.writeQueueSize ?? 0
    if (unsentBytes < this.#unsentBytes) this.takenAtMs = now
    this.#unsentBytes = unsentBytes
  }

  evict (now: number): void {
    const { account } = this.#guard
    this.#task.recordDecision('answer-evicted', { bytes: this.heldBytes, unreadMs: Math.round(now - this.takenAtMs), heldBytes: account.heldBytes })
    this.#reset()
  }

  /** Ends the connection before the answer is whole. */
  breakOff (): void {
    if (this.#res.req.httpVersion === '1.0') this.#reset()
    else this.#res.destroy()
  }

  /** An end without a reset completes an answer to an HTTP/1.0 caller, and leaves what the system holds for the caller in its memory. */
  #reset (): void {
    this.#res.socket?.resetAndDestroy()
    this.#res.destroy()
  }

  #flush (): void {
    while (this.#queue.length > 0 && this.#res.writableLength < MAX_PENDING_BYTES) this.#writeNext()
    if (this.#ended && this.#queue.length === 0) this.#res.end()
    this.#account()
  }

  #writeNext (): void {
    const next = this.#queue[0]!
    const bytes = next.length <= MAX_PENDING_BYTES ? next : next.subarray(0, MAX_PENDING_BYTES)
    if (bytes === next) this.#queue.shift()
    else this.#queue[0] = next.subarray(MAX_PENDING_BYTES)
    this.#queuedBytes -= bytes.length
    this.#res.write(bytes, this.#onTaken)
  }

  readonly #onTaken = (err?: Error | null): void => {
    if (err || this.#gone) return
    this.takenAtMs = steadyNow()
    if (this.#queue.length > 0) this.#flush()
    else if (this.#entry) this.#account()
  }

  #account (): void {
    const { heldBytes } = this
    if (!this.#entry && heldBytes < SMALL_ENTRY_BYTES) return
    this.#entry ??= this.#guard.account.open('answer')
    if (heldBytes >= SMALL_ENTRY_BYTES) this.#guard.watch(this)
    else if (!this.paused) this.#guard.release(this)
    if (this.paused) this.#resumeIfTaken(heldBytes)
    else if (heldBytes >= MIN_WINDOW_BYTES && !this.#task.final && heldBytes >= answerWindowBytes(this.#guard.account)) this.#pause()
    this.#entry.set(heldBytes + (this.paused ? READ_AHEAD_BYTES : 0))
  }

  #pause (): void {
    this.paused = true
    this.#task.flow.pause()
  }

  #resumeIfTaken (heldBytes: number): void {
    if (!this.#task.final && heldBytes > answerWindowBytes(this.#guard.account) / 2) return
    this.paused = false
    if (heldBytes < SMALL_ENTRY_BYTES) this.#guard.release(this)
    this.#task.flow.resume()
  }

  #close (): void {
    this.#closed = true
    this.#queue.length = 0
    this.#queuedBytes = 0
    this.#entry?.close()
    this.#guard.release(this)
  }
}
