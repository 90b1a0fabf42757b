/** Selection of the endpoints of a pool that may get a request. */
import type { DaemonId, PoolName } from '../../core/ids/index.ts'
import { regionalSubset, type EndpointView, type Hash32 } from '../../core/routing/index.ts'
import { mayContinueAt, type StreamVersion } from '../../core/streams/index.ts'
import type { Topology } from '../../core/topology/index.ts'

/** Endpoints that may get a request. */
export interface EndpointSelection {
  usable: readonly EndpointView[]
  /** Those that this daemon connects to. */
  connected: readonly EndpointView[]
}

/** What a selection asks about regions. */
export type EndpointTopology = Pick<Topology, 'isLocal' | 'regionOf'>

/** Options of {@linkcode EndpointSelections}. */
export interface EndpointSelectionsOptions {
  self: DaemonId
  hash: Hash32
  /** Number of endpoints of one pool that this daemon connects to. */
  subsetSize: number
  /** Region of each endpoint. Default: all are in this daemon's. */
  topology?: EndpointTopology | undefined
  /** Returns the endpoints of a pool that are listed and do not leave. */
  serving (pool: PoolName): readonly EndpointView[]
}

/** Selects endpoints, and keeps the selections until they are cleared. */
export class EndpointSelections {
  readonly #options: EndpointSelectionsOptions
  readonly #selections = new Map<string, EndpointSelection>()
  #mayGetWork: (view: EndpointView) => boolean = () => true
  #mayContinue: (view: EndpointView) => boolean = () => true

  #mayBegin: (view: EndpointView) => boolean = () => true

  constructor (options: EndpointSelectionsOptions) {
    this.#options = options
  }

  /** Must be called whenever the endpoints that serve have changed. */
  clear (): void {
    this.#selections.clear()
  }

  /** Restricts new work, and where streams may continue; see `EndpointTable.restrictTo`. */
  restrictTo (mayGetWork: (view: EndpointView) => boolean, mayContinue: (view: EndpointView) => boolean): void {
    this.#mayGetWork = mayGetWork
    this.#mayContinue = mayContinue
    this.clear()
  }

  /** Restricts work that may begin anywhere; see `EndpointTable.restrictBegin`. */
  restrictBegin (mayBegin: (view: EndpointView) => boolean): void {
    this.#mayBegin = mayBegin
    this.clear()
  }

  /** Returns true if work that may begin anywhere may begin at an endpoint. */
  mayBegin (view: EndpointView): boolean {
    return this.#mayBegin(view)
  }

  /** Selects the endpoints of a pool for a request; `boundTo` is the version that the stream is bound to which it continues. */
  select (pool: PoolName, boundTo: StreamVersion | undefined): EndpointSelection {
    const key = boundTo ? `${pool}\0${boundTo.version ?? ''}` : pool
    let selection = this.#selections.get(key)
    if (!selection) {
      const { self, hash, subsetSize: size, serving, topology } = this.#options
      const otherRegionOf = ({ failureDomain }: EndpointView) => (!topology || topology.isLocal(failureDomain) ? undefined : topology.regionOf(failureDomain))
      const usable = serving(pool).filter((view) => (boundTo ? mayContinueAt(boundTo, view) && this.#mayContinue(view) : this.#mayGetWork(view) && this.#mayBegin(view)))
      selection = { usable, connected: regionalSubset(self, usable, { hash, size, otherRegionOf }) }
      this.#selections.set(key, selection)
    }
    return selection
  }
}
