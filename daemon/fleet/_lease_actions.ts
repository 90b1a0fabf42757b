/** Actions that are performed in the name of a lease and have not ended. */
import { steadyNow } from '../../core/time/index.ts'
import { DutyError } from '../../endpoints/index.ts'

/** Options of {@linkcode LeaseActions.run}. */
export interface RunOptions {
  /** Returns when the right to act ends, on the steady clock in milliseconds. Asked again at that time, since the hold may have been renewed. */
  endsAtMs (): number
}

/** Runs actions until they end or the right to act does. */
export class LeaseActions {
  readonly #running = new Map<Promise<void>, AbortController>()
  #lastUnsureAtMs = -Infinity

  /** Number of actions that have not ended. */
  get size (): number { return this.#running.size }

  /** When an action last ended without a known outcome, in milliseconds on the steady clock: what it sent may still arrive. */
  get lastUnsureAtMs (): number { return this.#lastUnsureAtMs }

  /** Starts an action at once and aborts its signal when the right to act ends. */
  async run<T> (action: (signal: AbortSignal) => Promise<T>, options: RunOptions): Promise<T> {
    const controller = new AbortController()
    const { promise: ended, resolve: end } = createDeferred()
    const stopWatching = abortAtEnd(controller, options)
    this.#running.set(ended, controller)
    try {
      return await action(controller.signal)
    } catch (err) {
      if (!(err instanceof DutyError) || err.failure === 'unsure') this.#lastUnsureAtMs = steadyNow()
      throw err
    } finally {
      stopWatching()
      this.#running.delete(ended)
      end()
    }
  }

  /** Aborts all actions: another daemon has the lease. */
  abort (): void {
    for (const controller of this.#running.values()) controller.abort()
  }

  /** Resolves when all actions that are running now have ended. */
  async settled (): Promise<void> {
    await Promise.all(this.#running.keys())
  }
}

function createDeferred (): { promise: Promise<void>, resolve: () => void } {
  let resolve: () => void = () => {}
  const promise = new Promise<void>((_resolve) => { resolve = _resolve })
  return { promise, resolve }
}

function abortAtEnd (controller: AbortController, { endsAtMs }: RunOptions): () => void {
  let timer: NodeJS.Timeout
  const watch = () => {
    const remainingMs = endsAtMs() - steadyNow()
    if (remainingMs <= 0) controller.abort()
    else timer = setTimeout(watch, Math.ceil(remainingMs))
  }
  watch()
  return () => clearTimeout(timer)
}
