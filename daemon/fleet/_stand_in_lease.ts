/** A lease whose fencing number a test sets. */
import { LeaseError, type LeaseRight, type LeaseTask } from './lease_task.ts'

/** Lease that is held while it has a fencing number. */
export class StandInLease implements Pick<LeaseTask, 'act' | 'fencing' | 'fencingInOutage' | 'isUnsucceeded' | 'raiseFencing' | 'endOutageGrace'> {
  #fencing: () => number | undefined
  fencingInOutage: number | undefined

  /** @param fencing Returns the current fencing number; undefined while the lease is not held. */
  constructor (fencing: () => number | undefined) {
    this.#fencing = fencing
  }

  get fencing (): number | undefined { return this.#fencing() }
  set fencing (fencing: number | undefined) { this.#fencing = () => fencing }

  get isUnsucceeded (): boolean { return this.fencing !== undefined }

  async act<T> (action: (right: LeaseRight) => Promise<T>, { inOutage = false }: { inOutage?: boolean } = {}): Promise<T> {
    const fencing = this.fencing ?? (inOutage ? this.fencingInOutage : undefined)
    if (fencing === undefined) throw new LeaseError('Cannot act: the lease is not held')
    return await action({ fencing, signal: new AbortController().signal })
  }

  raiseFencing (): void {}

  endOutageGrace (): void {
    this.fencingInOutage = undefined
  }
}
