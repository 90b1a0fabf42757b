/** Binding of a stream to the version of its first event. */
import type { StreamVersion } from '../../core/streams/index.ts'

/** What one request's stream is bound to. */
export class StreamBinding {
  #version: StreamVersion | undefined
  #isReported = false
  /** Called once, before the first event of the stream is passed on from here. */
  onBound: (version: StreamVersion) => void = () => {}

  /** @param version Version of the first event, if the caller has it already. */
  constructor (version: StreamVersion | undefined) {
    this.#version = version
  }

  /** Undefined while the caller has no event of the stream. */
  get version (): StreamVersion | undefined { return this.#version }

  /** Must be called with the version of each event before it is passed on. Only that of the first counts. */
  eventArrived (from: StreamVersion): void {
    if (this.#isReported) return
    this.#isReported = true
    this.#version ??= from
    this.onBound(this.#version)
  }
}
