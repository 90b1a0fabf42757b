/** Orders endpoints so that each pool has the mix that its work needs, on whichever daemon holds the lease. */
import type { Pool } from '../../core/catalog/index.ts'
import { fixedMix, type DomainMix } from '../../core/fleet/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { DutyError, type Duties, type EndpointOrder } from '../../endpoints/index.ts'
import type { EndpointTable } from '../endpoints/endpoint_table.ts'
import type { LeaseTask } from '../fleet/lease_task.ts'
import { logOf } from '../log.ts'

/** Options of {@linkcode OrderTask}. */
export interface OrderTaskOptions {
  name: string
  duties: Duties
  lease: LeaseTask
  table: EndpointTable
  pools (): Iterable<Pool>
}

const ROUND_MS = 250
/** An order that was refused is not given again for this long, in milliseconds. */
const REFUSED_MS = 1000
/** An order that stands is given again after this long, in case it was lost, in milliseconds. */
const REPEAT_MS = 5000
const log = logOf('orders')

interface Given { count: number, fencing: number, atMs: number, refused: boolean }

/** Gives orders of wanted counts; repeating one does no harm. */
export class OrderTask {
  readonly #options: OrderTaskOptions
  readonly #given = new Map<string, Given>()
  #timer: NodeJS.Timeout | undefined
  #running = false

  constructor (options: OrderTaskOptions) {
    this.#options = options
  }

  /** Begins to order whenever this daemon holds the lease. */
  start (): void {
    this.#timer = setInterval(() => this.#round(), ROUND_MS)
  }

  /** Stops. */
  stop (): void {
    clearInterval(this.#timer)
  }

  async #round (): Promise<void> {
    if (this.#running || this.#options.lease.fencing === undefined) return
    this.#running = true
    try {
      for (const pool of this.#options.pools()) {
        if (pool.scaling) for (const mix of fixedMix(pool.scaling, { onDemand: 1, reclaimable: 1 })) await this.#orderMix(pool, mix)
      }
    } finally {
      this.#running = false
    }
  }

  async #orderMix (pool: Pool, mix: DomainMix): Promise<void> {
    const order = { pool: pool.name, failureDomain: mix.failureDomain }
    await this.#order({ ...order, reclaimable: true, count: mix.reclaimable })
    await this.#order({ ...order, reclaimable: false, count: mix.onDemand })
  }

  async #order (order: EndpointOrder): Promise<void> {
    const { fencing } = this.#options.lease
    if (fencing === undefined || !this.#isDue(order, fencing)) return
    const key = keyOf(order)
    try {
      await this.#options.duties.order(order, { name: this.#options.name, fencing })
      this.#given.set(key, { count: order.count, fencing, atMs: steadyNow(), refused: false })
      log('ordered', { ...order, fencing })
    } catch (err) {
      if (!(err instanceof DutyError)) throw err
      this.#given.set(key, { count: order.count, fencing, atMs: steadyNow(), refused: true })
      log('not ordered', { ...order, fencing, failure: err.failure, why: err.message })
      // It may be carried out yet, after newer orders: a higher fencing number makes the platform refuse it.
      if (err.failure === 'unsure') this.#options.lease.raise()
    }
  }

  #isDue (order: EndpointOrder, fencing: number): boolean {
    const given = this.#given.get(keyOf(order))
    if (!given || given.fencing !== fencing || given.count !== order.count) return given?.refused !== true || steadyNow() - given.atMs > REFUSED_MS
    return steadyNow() - given.atMs > (given.refused ? REFUSED_MS : REPEAT_MS)
  }
}

function keyOf ({ pool, failureDomain, reclaimable }: EndpointOrder): string {
  return `${pool}/${failureDomain}/${reclaimable ? 'reclaimable' : 'on-demand'}`
}
