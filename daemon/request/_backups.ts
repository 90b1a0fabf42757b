/** Attempts that are started beside the current one of their request while it is silent. */
import type { AnswerHead } from '../../core/answer/index.ts'
import type { EndpointId } from '../../core/ids/index.ts'
import { AttemptError } from '../../core/outcome/index.ts'
import { mayStartBackup, overdueAtMs, type RequestMessage, type RequestState } from '../../core/request/index.ts'
import type { EndpointView, Route } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { Attachment, AttemptSink } from '../../endpoints/index.ts'
import type { RequestEvents } from '../log/index.ts'
import { recordDeparture, recordFailedAttempt } from './_attempt_failure.ts'
import type { QuarantineCheck } from './_quarantine_check.ts'
import type { AttemptTracker } from './attempt_tracker.ts'
import type { Placement } from './placement.ts'
import type { RequestPorts, RequestWork } from './work.ts'

/** A running backup. */
export interface Backup {
  view: EndpointView
  tracker: AttemptTracker
  attachment: Attachment
}

/** What a backup is sent with. */
export interface BackupSpec<P> { attempt: number, route: Route | undefined, tracker: AttemptTracker, sink: AttemptSink<P> }

/** Options of {@linkcode Backups}. */
export interface BackupsOptions<P> {
  work: RequestWork
  ports: RequestPorts
  quarantine: QuarantineCheck
  /** State of the request. */
  state (): RequestState
  /** Returns a placement of the request that avoids some endpoints. */
  placement (avoid: readonly EndpointId[]): Placement
  newTracker (): AttemptTracker
  /** Returns the sink of an attempt. */
  sink (endpoint: EndpointId, attempt: number): AttemptSink<P>
  /** Sends a backup to an endpoint. */
  send (view: EndpointView, spec: BackupSpec<P>): Attachment
  /** Returns false for an answer that cannot continue what the caller has. */
  mayComplete (attempt: number, head: AnswerHead | undefined): boolean
  post (msg: RequestMessage): void
  recordDecision<E extends keyof RequestEvents> (event: E, fields: RequestEvents[E]): void
  logFailure (endpoint: EndpointId, err: AttemptError, failure: Pick<RequestEvents['attempt-failed'], 'attempt' | 'repeat'> & { sentAtMs: number | undefined }): void
  /** Number of pieces that the caller has. */
  pieces (): number
}

/**
 * Finds an endpoint for the backup of one request, and keeps the backup until it is stopped, fails or takes the place of the silent attempt.
 *
 * Neither is given up before the other one answers: the endpoint of the silent attempt may be sound, and that of the backup silent as well, or let it wait. What
 * an endpoint sends for other requests shows nothing of this one.
 */
export class Backups<P> {
  readonly #options: BackupsOptions<P>
  #running: Backup | undefined
  /** Set while a backup waits for an endpoint that can take it. */
  #waiting: Placement | undefined
  /** The route to the endpoint that was found last. */
  #route: Route | undefined

  constructor (options: BackupsOptions<P>) {
    this.#options = options
  }

  /** Starts a backup once an endpoint can take it. Must be called repeatedly while the current attempt is silent. `mayRetry`: the request may be sent to another endpoint. */
  request ({ mayRetry }: { mayRetry: boolean }): void {
    if (this.#waiting || !mayRetry || !this.#mayStart()) return
    this.#waiting = this.#placement()
    this.#options.ports.dispatcher.startOnceRoom(this.#waiting)
  }

  /** Must be called when the current attempt sends anything. */
  currentGoesOn (): void {
    const { state, post } = this.#options
    this.withdraw()
    if (state().backup) post({ type: 'answering', attempt: state().attempt })
  }

  /** Stops waiting for an endpoint. Must be called once the current attempt goes on or has ended. */
  withdraw (): void {
    if (this.#waiting) this.#options.ports.dispatcher.remove(this.#waiting)
    this.#waiting = undefined
  }

  /** Starts the backup at the endpoint that was found for it. */
  start (endpoint: EndpointId, attempt: number): void {
    const { ports, newTracker, send, post } = this.#options
    const view = ports.table.get(endpoint)
    if (!view) return post({ type: 'failed', attempt, point: 'before-send', retryGranted: false })
    const tracker = newTracker()
    const attachment = send(view, { attempt, route: this.#route, tracker, sink: this.#sink(endpoint, attempt) })
    this.#running = { view, tracker, attachment }
  }

  /** Hands over the backup, which takes the place of the attempt before it. */
  adopt (attempt: number): Backup {
    const { recordDecision, pieces } = this.#options
    const backup = this.#running!
    this.#running = undefined
    recordDecision('backup-adopted', { attempt, endpoint: backup.view.id, afterMs: ageOf(backup), pieces: pieces() })
    return backup
  }

  /** Stops the backup, whose endpoint may work on it, and returns that endpoint; undefined if there is none. */
  stop (attempt: number): EndpointView | undefined {
    const backup = this.#running
    if (!backup) return undefined
    const { work, ports, quarantine, recordDecision, pieces } = this.#options
    const { view, tracker } = backup
    recordDecision('backup-stopped', { attempt, endpoint: view.id, afterMs: ageOf(backup), pieces: pieces() })
    ports.crashes.abandoned(view, work.fingerprint(), quarantine.watchedRun(tracker.sentAtMs))
    this.#endRun()
    return view
  }

  /** Stops waiting, and ends a backup that runs without a record of it. */
  end (): void {
    this.withdraw()
    this.#endRun()
  }

  #endRun (): void {
    this.#running?.attachment.detach()
    this.#running?.tracker.end()
    this.#running = undefined
  }

  /** A backup that is silent itself is replaced while the route allows another attempt. */
  #mayStart (): boolean {
    const { state, ports } = this.#options
    if (!this.#running) return mayStartBackup(state())
    const { view, tracker: { progress } } = this.#running
    const isOverdue = progress !== undefined && steadyNow() >= overdueAtMs(progress, { typicalIntervalMs: ports.table.typicalIntervalMs(view.id) })
    return isOverdue && mayStartBackup({ ...state(), backup: undefined, sent: state().sent + 1 })
  }

  /** A backup is sent from here, and never to an endpoint that the request was sent to before. */
  #placement (): Placement {
    const { state, ports, placement: placementOf, post } = this.#options
    const { endpoint, backup, avoid } = state()
    const { delegated: _, ...placement } = placementOf([...avoid, endpoint!, ...backup ? [backup.endpoint] : []])
    return {
      ...placement,
      resumed: true,
      accepts: (view) => !placement.avoid.includes(view.id) && placement.accepts!(view),
      mayStart: () => ports.budget.tryWithdraw(ports.table.isLeavingOrGone(endpoint!)),
      placed: (view, route) => {
        this.#waiting = undefined
        if (this.#running) this.#fail(state().backup!.attempt, new AttemptError('Cannot wait: the backup went silent', { point: 'timeout-after-send' }))
        this.#route = route
        post({ type: 'backup', endpoint: view.id })
      }
    }
  }

  /** Reports the first part of the answer before it is passed on, so that the backup is the current attempt by then. */
  #sink (endpoint: EndpointId, attempt: number): AttemptSink<P> {
    const { state, post, mayComplete, sink: sinkOf } = this.#options
    const sink = sinkOf(endpoint, attempt)
    const isBackup = () => state().backup?.attempt === attempt
    let head: AnswerHead | undefined
    const mayPassOn = () => {
      if (!isBackup()) return true
      if (mayComplete(attempt, head)) post({ type: 'answering', attempt })
      else this.#fail(attempt, new AttemptError('Cannot use answer: it does not continue the events that were passed on', { point: 'foreign-answer' }))
      return state().attempt === attempt
    }
    return {
      ...sink,
      onHead: (arrived) => {
        head = arrived
        sink.onHead?.(arrived)
      },
      onChunk: (offset, pieces) => { if (mayPassOn()) sink.onChunk(offset, pieces) },
      onEnd: (total, options) => { if (mayPassOn()) sink.onEnd(total, options) },
      onError: (err) => (isBackup() ? this.#fail(attempt, err) : sink.onError(err))
    }
  }

  /** The current attempt goes on, so that its request has not failed. */
  #fail (attempt: number, err: AttemptError): void {
    const { work, ports, quarantine, logFailure, post } = this.#options
    const { view, tracker: { sentAtMs } } = this.#running!
    const failed = { endpoint: view.id, view, point: err.point, err, cls: work.cls.name, sentAtMs, run: quarantine.watchedRun(sentAtMs), wasPaused: false }
    recordDeparture(ports.table, failed)
    recordFailedAttempt(ports, failed)
    logFailure(view.id, err, { attempt, repeat: 'current-goes-on', sentAtMs })
    this.#endRun()
    post({ type: 'failed', attempt, point: err.point, retryGranted: false })
  }
}

function ageOf ({ tracker }: Backup): number {
  return steadyNow() - (tracker.sentAtMs ?? steadyNow())
}
