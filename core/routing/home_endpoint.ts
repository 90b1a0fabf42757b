/** Assigns shared prompt prefixes to endpoints, the same way on every daemon without communication. */
import type { PromptPart } from '../work/index.ts'
import type { EndpointView } from './endpoint_view.ts'
import type { Hash32 } from './subset.ts'

/**
 * Returns the preferred endpoint for requests with the same prompt prefix, by rendezvous hashing.
 *
 * The last part of a prompt is specific to the request, and the part before it is shared with related requests. Caching a shared part at a single endpoint
 * serves all of them and leaves memory at the other endpoints for other parts. When an endpoint leaves, only the parts assigned to it move.
 * @returns Undefined for a prompt without a shared part.
 */
export function homeEndpoint (parts: readonly PromptPart[], candidates: readonly EndpointView[], hash: Hash32): EndpointView | undefined {
  const shared = parts.at(-2)
  if (!shared) return undefined
  let home: EndpointView | undefined
  let highestRank = -1
  for (const view of candidates) {
    const rank = hash(`${shared.key}/${view.id}`)
    if (rank <= highestRank) continue
    highestRank = rank
    home = view
  }
  return home
}
