/** Describes endpoints to the reclaim planner. */
import type { Source, Target } from '../../core/reclaim/index.ts'
import { runningNow, type EndpointView } from '../../core/routing/index.ts'

/** Options of {@linkcode sourceOf}. */
export interface SourceOptions {
  noticeMs: number
  /** Random number in [0, 1). */
  roundingDraw: number
  /** Part of the notice that copies under way for this daemon use up, in milliseconds. Default 0. */
  busyMs?: number
  /** Tokens of KV cache that the endpoint can export per second. Default: as it publishes. */
  exportTokensPerS?: number
  /** Time between tokens at the current load, in milliseconds. Default: from the speed that the endpoint publishes. */
  betweenTokensMs?: number
}

/** Options of {@linkcode targetOf}. */
export interface TargetOptions {
  /** KV cache that one free slot may use, in tokens. Default 16,384. */
  kvTokensPerSlot?: number
  /** Tokens of KV cache that the endpoint can import per second. Default: as it publishes. */
  importTokensPerS?: number
}

const DEFAULT_KV_TOKENS_PER_SLOT = 16_384

/** Describes a leaving endpoint. Other daemons plan for it independently, so each uses the share of the endpoint that its own streams take up. */
export function sourceOf (view: EndpointView, options: SourceOptions): Source {
  const { speed } = view
  const share = Math.min(1, view.own.running / Math.max(1, runningNow(view)))
  return {
    id: view.id,
    noticeMs: options.noticeMs,
    exportTokensPerS: options.exportTokensPerS ?? speed.exportTokensPerS,
    share: Math.max(0, share - (options.busyMs ?? 0) / Math.max(1, options.noticeMs)),
    roundingDraw: options.roundingDraw,
    betweenTokensMs: options.betweenTokensMs ?? speed.betweenTokensMs + speed.betweenTokensPerStreamMs * runningNow(view)
  }
}

/** Describes an endpoint that can take over streams. */
export function targetOf (view: EndpointView, { kvTokensPerSlot = DEFAULT_KV_TOKENS_PER_SLOT, importTokensPerS }: TargetOptions = {}): Target {
  const { speed } = view
  const freeSlots = Math.max(0, speed.batchSlots - runningNow(view))
  return {
    id: view.id,
    freeSlots,
    freeKvTokens: freeSlots * kvTokensPerSlot,
    importTokensPerS: importTokensPerS ?? speed.importTokensPerS,
    importShare: 1,
    prefillTokensPerS: speed.prefillTokensPerS,
    betweenTokensMs: speed.betweenTokensMs + speed.betweenTokensPerStreamMs * (runningNow(view) + 1),
    batchSlots: speed.batchSlots,
    pricePerHour: view.pricePerHour
  }
}
