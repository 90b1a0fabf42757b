/** Sends requests to the daemons that run them, and receives their answers. */
import type { DaemonId } from '../../core/ids/index.ts'
import { AttemptError, type FailurePoint } from '../../core/outcome/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { Attachment } from '../../endpoints/index.ts'
import { PeerError, type CallOptions } from '../peers/links.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import type { DelegatedSink } from '../request/delegated_run.ts'
import { PROGRESS_TOPIC, CANCEL_TOPIC, FLOW_TOPIC, RECEIVED_TOPIC, RUN_METHOD, START_TOPIC, type CancelMessage, type FlowMessage, type ReceivedMessage, type RunPart, type RunQuery, type RunResult, type StartMessage } from './_messages.ts'
import { WINDOW_BYTES } from './_run_flow.ts'
import type { DelegateFinder } from './delegate_finder.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode DelegatedRuns}. */
export interface DelegatedRunsOptions {
  membership: MembershipTask
  finder: DelegateFinder
}

/** Options of one run. */
export interface DelegatedRunOptions {
  query: Omit<RunQuery, 'run' | 'confirms' | 'awaitsStart'>
  /** Returns true if the request may run again elsewhere when its delegate does not respond, and can be sent there now; otherwise its answer is waited for. */
  mayRepeatNow (): boolean
}

/** A run that has no result yet. */
interface OpenRun {
  to: DaemonId
  mayRepeatNow (): boolean
  /** When the delegate last sent anything about the run, in milliseconds on the steady clock. */
  activeAtMs: number
  lose (why: string): void
  /** Lets the run begin, again as long as it is not known that it has: the message may be lost with a link. */
  start (): void
  /** Confirms what was received of the answer once that is enough, or was not sent before. */
  confirm (): void
}

/** Time for which the reply to a run may be later than its deadline, in milliseconds. */
const REPLY_MARGIN_MS = 500
/** Silence of a delegate after which its runs are given up, in milliseconds; it confirms them every 500 ms. */
const DELEGATE_SILENCE_MS = 1200
const CHECK_INTERVAL_MS = 200
/** Bytes of an answer after which they are confirmed: the delegate has some of its window left when the confirmation arrives. */
const CONFIRM_BYTES = WINDOW_BYTES / 4

/** Runs requests at other daemons. */
export class DelegatedRuns {
  readonly #options: DelegatedRunsOptions
  readonly #runs = new Map<number, OpenRun>()
  readonly #progressAtMs = new Map<DaemonId, number>()
  #lastRun = 0
  #timer: NodeJS.Timeout | undefined

  constructor (options: DelegatedRunsOptions) {
    this.#options = options
    options.membership.links.onPost(PROGRESS_TOPIC, (_: unknown, from) => this.#progressAtMs.set(from, steadyNow()))
  }

  /** Starts the periodic checks of the delegates. */
  start (): void {
    this.#timer = setInterval(guarded('delegated-runs', () => this.#check()), CHECK_INTERVAL_MS)
  }

  /** Stops the periodic checks of the delegates. */
  stop (): void {
    clearInterval(this.#timer)
  }

  /** Sends a request to a daemon. */
  run (to: DaemonId, { query, mayRepeatNow }: DelegatedRunOptions, sink: DelegatedSink<Buffer>): Attachment {
    const { membership: { links, core }, finder } = this.#options
    const run = ++this.#lastRun
    let reached = 0
    const close = (failed: boolean) => {
      if (!this.#runs.delete(run)) return false
      finder.ended(query.pool, to, { failed })
      return true
    }
    // Another daemon may have started at the address.
    let peer = to
    const cancel = () => links.post(peer, CANCEL_TOPIC, { run } satisfies CancelMessage)
    const fail = (point: FailurePoint, why: string, options: { answer?: AttemptError['answer'], cause?: unknown } = {}) => {
      const isNotRun = point === 'delegate-declined'
      if (close(point !== 'endpoint-error')) sink.onError(new AttemptError(`Cannot use delegate ${to}: ${why}`, { point, ...options }), isNotRun ? 0 : Math.max(1, reached))
    }
    const lose = (why: string) => {
      fail('delegate-lost', why)
      cancel()
    }
    const flow = { paused: false, unsent: false }
    // Without a link nothing is sent; the first part that arrives shows that there is one.
    const setFlow = (paused: boolean) => {
      if (!this.#runs.has(run)) return
      flow.paused = paused
      flow.unsent = !links.post(peer, FLOW_TOPIC, { run, paused } satisfies FlowMessage)
    }
    const bytes = { received: 0, confirmed: 0 }
    const confirm = () => {
      if (bytes.received - bytes.confirmed < CONFIRM_BYTES) return
      if (links.post(peer, RECEIVED_TOPIC, { run, bytes: bytes.received } satisfies ReceivedMessage)) bytes.confirmed = bytes.received
    }
    let isAccepted = false
    const start = () => { if (isAccepted && reached === 0) links.post(peer, START_TOPIC, { run } satisfies StartMessage) }
    const open: OpenRun = { to, mayRepeatNow, activeAtMs: steadyNow(), lose, start, confirm }
    this.#runs.set(run, open)
    finder.started(query.pool, to)
    const onPart = ({ reached: reachedNow, head, version, chunk }: RunPart, from: DaemonId) => {
      peer = from
      if (!this.#runs.has(run)) return
      open.activeAtMs = steadyNow()
      reached = reachedNow ?? reached
      if (!isAccepted) {
        isAccepted = true
        start()
      }
      if (head) sink.onHead(head, { version })
      if (chunk) {
        bytes.received += chunk.pieces.reduce((sum, { length }) => sum + length, 0)
        sink.onChunk(chunk.offset, chunk.pieces.map(toBuffer))
        confirm()
      }
      if (flow.unsent) setFlow(flow.paused)
    }
    const onResult = (result: RunResult) => {
      if (result.type === 'answered') {
        if (close(false)) sink.onEnd(result.total)
      } else if (result.type === 'refused') {
        if (close(false)) sink.onRefused(result.why, result.retryAfterMs)
      } else if (result.type === 'declined') fail('delegate-declined', result.why)
      else {
        reached = Math.max(reached, result.reached)
        fail(result.type === 'lost' ? 'delegate-lost' : 'endpoint-error', result.why, { answer: result.answer })
      }
    }
    const member = core.member(to)
    if (member) {
      links.call(member, RUN_METHOD, { ...query, run, confirms: true, awaitsStart: true } satisfies RunQuery, { timeoutMs: query.deadlineInMs + REPLY_MARGIN_MS, part: onPart as CallOptions['part'] })
        .then((result) => onResult(result as RunResult), (err: Error) => fail(err instanceof PeerError && err.notSent ? 'delegate-declined' : 'delegate-lost', err.message, { cause: err }))
    } else queueMicrotask(() => fail('delegate-declined', 'it is not known any more'))
    return { detach: () => { if (close(false)) cancel() }, pause: () => setFlow(true), resume: () => setFlow(false) }
  }

  #check (): void {
    const now = steadyNow()
    for (const { to, mayRepeatNow, activeAtMs, lose, start, confirm } of [...this.#runs.values()]) {
      start()
      confirm()
      const silentMs = now - Math.max(activeAtMs, this.#progressAtMs.get(to) ?? -Infinity)
      if (silentMs >= DELEGATE_SILENCE_MS && mayRepeatNow()) lose(`it has sent nothing for ${Math.round(silentMs)} ms`)
    }
    for (const [id, atMs] of this.#progressAtMs) if (now - atMs > DELEGATE_SILENCE_MS) this.#progressAtMs.delete(id)
  }
}

function toBuffer (bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)
}
