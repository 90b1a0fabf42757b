/** Observes the link to other regions and decides which requests may cross it. */
import { LinkBudget, QueueingDelay, RateController, type LinkPriority } from '../../core/link/index.ts'
import type { Member } from '../../core/membership/index.ts'
import type { Random } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { RegionTopology } from '../../core/topology/index.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import type { Links } from '../peers/links.ts'
import type { CrossingRequest, RegionCrossing } from '../request/placement.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode RegionLinkTask}. */
export interface RegionLinkTaskOptions {
  topology: Pick<RegionTopology, 'hasRegions' | 'isLocal' | 'recordRoundTrip'>
  membership: { readonly links: Pick<Links, 'call' | 'handle' | 'isLinked'>, readonly reachable: readonly Member[] }
  metrics: Pick<Metrics, 'regionLinkDelay' | 'regionLinkRate'>
  random: Random
}

/** Interval between samples while requests cross, in milliseconds. */
const BUSY_SAMPLE_INTERVAL_MS = 100
/** Interval between samples while none cross, in milliseconds; the first request to cross finds a round trip that is known. */
const IDLE_SAMPLE_INTERVAL_MS = 5000
/** Time after the last request that crossed during which the link is sampled often, in milliseconds. */
const BUSY_AFTER_MS = 1000
/** Time after which a sample counts as lost, in milliseconds. */
const SAMPLE_TIMEOUT_MS = 1000
/** Samples that may wait for their answers at once: more than fit into the time-out are not sent. */
const MAX_SAMPLES_IN_FLIGHT = 16
/** Largest body of a request that crosses as a call, in bytes. */
const MAX_CALL_BYTES = 4096
/** Samples lost in a row after which the link counts as cut. */
const LOST_IN_CUT = 3
const SAMPLE_METHOD = 'region-link-sample'
const MS_PER_S = 1000

/**
 * Bounds what this daemon sends over the link between regions.
 *
 * Nobody knows the link's rate or sees more than its own bytes. Each daemon samples the round trip to a daemon of another region and adapts its rate to the delay that the
 * link's queue adds.
 */
export class RegionLinkTask implements RegionCrossing {
  readonly #options: RegionLinkTaskOptions
  readonly #delay = new QueueingDelay()
  readonly #rate = new RateController()
  readonly #budget = new LinkBudget({ bytesPerS: () => this.#rate.bytesPerS })
  #timer: NodeJS.Timeout | undefined
  #isStopped = true
  #samplesInFlight = 0
  #lastCrossedAtMs = -Infinity
  #lastSampleAtMs = -Infinity
  #bytesSinceSample = 0
  #lostInRow = 0

  constructor (options: RegionLinkTaskOptions) {
    this.#options = options
    options.membership.links.handle(SAMPLE_METHOD, async () => null)
  }

  /** Starts sampling, if the deployment has several regions. */
  start (): void {
    if (!this.#options.topology.hasRegions) return
    this.#isStopped = false
    this.#schedule()
  }

  /** Stops sampling. */
  stop (): void {
    this.#isStopped = true
    clearTimeout(this.#timer)
  }

  mayCross (req: CrossingRequest): boolean {
    return this.#budget.mayCross(req.bytes, priorityOf(req), steadyNow())
  }

  crossed (bytes: number): void {
    const now = steadyNow()
    const wasIdle = now - this.#lastCrossedAtMs > BUSY_AFTER_MS
    this.#budget.crossed(bytes, now)
    this.#lastCrossedAtMs = now
    this.#bytesSinceSample += bytes
    if (wasIdle) this.#schedule()
  }

  #schedule (): void {
    clearTimeout(this.#timer)
    if (this.#isStopped) return
    const isBusy = steadyNow() - this.#lastCrossedAtMs <= BUSY_AFTER_MS
    // Daemons that start together would otherwise sample together, and see the queue of their own samples.
    const spread = 0.5 + this.#options.random()
    this.#timer = setTimeout(guarded('region-link-task', () => {
      this.#schedule()
      this.#sample()
    }), spread * (isBusy ? BUSY_SAMPLE_INTERVAL_MS : IDLE_SAMPLE_INTERVAL_MS))
  }

  async #sample (): Promise<void> {
    const { membership, topology } = this.#options
    const peer = this.#samplesInFlight < MAX_SAMPLES_IN_FLIGHT ? this.#peer() : undefined
    if (!peer) return
    this.#samplesInFlight++
    const sentAtMs = steadyNow()
    try {
      await membership.links.call(peer, SAMPLE_METHOD, null, { timeoutMs: SAMPLE_TIMEOUT_MS })
      const roundTripMs = steadyNow() - sentAtMs
      topology.recordRoundTrip(peer.failureDomain, roundTripMs)
      this.#arrived(roundTripMs)
    } catch {
      this.#lost()
    } finally {
      this.#samplesInFlight--
    }
  }

  #arrived (roundTripMs: number): void {
    const now = steadyNow()
    if (this.#lostInRow >= LOST_IN_CUT) log('region-link-back', { bytesPerS: Math.round(this.#rate.bytesPerS) })
    this.#lostInRow = 0
    this.#delay.record(roundTripMs, now)
    const delayMs = this.#delay.delayMs!
    this.#rate.sampled(delayMs, this.#bytesSinceSample * MS_PER_S / Math.max(1, now - this.#lastSampleAtMs))
    this.#lastSampleAtMs = now
    this.#bytesSinceSample = 0
    this.#options.metrics.regionLinkDelay.set(delayMs)
    this.#options.metrics.regionLinkRate.set(this.#rate.bytesPerS)
  }

  #lost (): void {
    this.#rate.lost()
    this.#options.metrics.regionLinkRate.set(this.#rate.bytesPerS)
    if (++this.#lostInRow === LOST_IN_CUT) log('region-link-lost', { bytesPerS: Math.round(this.#rate.bytesPerS) })
  }

  /** A daemon of another region, one that is linked already if there is any. */
  #peer (): Member | undefined {
    const { membership, topology, random } = this.#options
    const far = membership.reachable.filter(({ failureDomain }) => !topology.isLocal(failureDomain))
    const linked = far.filter(({ id }) => membership.links.isLinked(id))
    const candidates = linked.length > 0 ? linked : far
    return candidates[Math.floor(random() * candidates.length)]
  }
}

function priorityOf ({ bytes }: CrossingRequest): LinkPriority {
  return bytes <= MAX_CALL_BYTES ? 'call' : 'bulk'
}
