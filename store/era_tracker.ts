/** Knows the era of the store, which rises when the store returns to an older copy of itself. */
import { eraOf, formatVersion, isEra, type StoreVersion } from '../core/store_version/index.ts'
import { steadyNow } from '../core/time/index.ts'
import { StoreError } from './object_store.ts'

/** A rise of the era. */
export interface EraRise {
  era: number
  before: number
  /** Who reported the new era: the store, or another daemon. */
  from: string
}

/** Called after the era has risen. */
export type EraListener = (rise: EraRise) => void

/**
 * Holds the highest era of the store that is known, from the store's answers or from other daemons.
 *
 * A store that sends no era never returns to a copy: its era is 0.
 */
export class EraTracker {
  readonly #listeners: EraListener[] = []
  #current = 0
  /** False until an answer or a daemon has named an era, which is then no rise. */
  #known = false
  #sinceMs = -Infinity

  /** The highest known era; 0 before any is known. */
  get current (): number { return this.#current }

  /** When the era was first known here, in milliseconds on the steady clock; `-Infinity` before any is. The store may have been in it for longer. */
  get sinceMs (): number { return this.#sinceMs }

  /** Adds a listener for rises of the era. */
  onRise (listener: EraListener): void {
    this.#listeners.push(listener)
  }

  /** Records an era that the store or another daemon has named. A value that is no era is ignored. */
  learn (era: number, from: string): void {
    if (!isEra(era)) return
    const before = this.#current
    const rises = this.#known && era > before
    this.#known = true
    if (era <= before) return
    this.#current = era
    this.#sinceMs = steadyNow()
    if (rises) for (const listener of this.#listeners) listener({ era, before, from })
  }

  /**
   * Records the era of an answer of the store.
   * @param era Era of the answer; 0 if it names none.
   * @param call The call that was answered, for the error.
   * @throws {StoreError} `history-gone` if the answer is of an older era than the known one.
   */
  checkAnswer (era: number, call: string): void {
    this.learn(era, 'store')
    if (era < this.#current) throw new StoreError(`Cannot ${call}: the answer is of era ${era}, and the store is in era ${this.#current}`, { failure: 'history-gone' })
  }

  /**
   * Checks that an answer continues from a version.
   * @throws {StoreError} `history-gone` if the two are of different eras.
   */
  checkContinues (after: StoreVersion, call: string): void {
    if (eraOf(after) !== this.#current) throw new StoreError(`Cannot ${call}: version ${formatVersion(after)} is not of era ${this.#current}, in which the store is`, { failure: 'history-gone' })
  }

  /**
   * Checks the version that a write is to replace, before it is sent: its revision may have been given out again.
   * @throws {StoreError} `conflict` if it is of an older era.
   */
  checkCondition (version: StoreVersion, call: string): void {
    if (eraOf(version) !== this.#current) throw new StoreError(`Cannot ${call}: version ${formatVersion(version)} is not of era ${this.#current}, in which the store is`, { failure: 'conflict' })
  }

  /**
   * Records the era of the answer to a write.
   * @param options.replaces The version that the write replaced; undefined if it created an object.
   * @throws {StoreError} `unsure` if the store has returned to a copy since the version was read or the answer was sent: the write is lost, or replaced an object that its writer does not know.
   */
  checkWritten (era: number, { replaces, call }: { replaces: StoreVersion | undefined, call: string }): void {
    this.learn(era, 'store')
    if (era < this.#current || (replaces !== undefined && eraOf(replaces) !== era)) throw new StoreError(`Cannot tell what ${call} did: the store has returned to a copy, and is in era ${this.#current}`, { failure: 'unsure' })
  }
}
