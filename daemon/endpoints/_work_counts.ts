/** Counts the work at endpoints, of this daemon and of the others. */
import { addHeldTokens, noWork, unreadBefore, type EndpointLoad, type EndpointView, type EndpointWork, type Lane } from '../../core/routing/index.ts'

/** What one request adds to the work of an endpoint. */
export interface SentWork {
  /** Lane that the prompt queues in. */
  lane: Lane
  /** Prompt tokens that the endpoint has to process. */
  tokens: number
  /** Tokens of memory that the request may take: its prompt and its longest answer. Default: 0. */
  heldTokens?: number
}

/** Called after each request of this daemon that was sent. */
export type StartListener = (view: EndpointView, work: SentWork) => void
/** Called after each request of this daemon that has ended, with the tokens of memory that it held at most. */
export type EndListener = (view: EndpointView, heldTokens: number) => void

/** Keeps the counts of the views that it is given. */
export class WorkCounts {
  readonly #countsMemory: boolean
  readonly #startListeners: StartListener[] = []
  readonly #endListeners: EndListener[] = []

  constructor ({ countsMemory }: { countsMemory: boolean }) {
    this.#countsMemory = countsMemory
  }

  onStarted (listener: StartListener): void { this.#startListeners.push(listener) }
  onEnded (listener: EndListener): void { this.#endListeners.push(listener) }

  started (view: EndpointView, work: SentWork): void {
    view.own.running++
    view.own.unread[work.lane] += work.tokens
    if (this.#countsMemory) addHeldTokens(view.own, work.heldTokens ?? 0)
    for (const listener of this.#startListeners) listener(view, work)
  }

  promptRead (view: EndpointView, { lane, tokens }: SentWork): void {
    view.own.unread[lane] = Math.max(0, view.own.unread[lane] - tokens)
  }

  ended (view: EndpointView, heldTokens: number): void {
    view.own.running = Math.max(0, view.own.running - 1)
    if (this.#countsMemory) addHeldTokens(view.own, -heldTokens)
    for (const listener of this.#endListeners) listener(view, heldTokens)
  }

  /** Applies a load report that came with a response; it includes this daemon's own work. */
  applyLoadReport (view: EndpointView, load: EndpointLoad): void {
    view.others = {
      running: Math.max(0, load.running - view.own.running),
      unread: { urgent: 0, normal: Math.max(0, load.queuedTokens - unreadBefore(view.own, 'late')), late: 0 }
    }
  }

  /** Applies the load that the other daemons put on each endpoint; endpoints that are not mentioned have none. */
  applyOthers (views: Iterable<EndpointView>, loads: readonly EndpointWork[]): void {
    const byEndpoint = new Map(loads)
    for (const view of views) view.others = byEndpoint.get(view.id) ?? noWork()
  }
}
