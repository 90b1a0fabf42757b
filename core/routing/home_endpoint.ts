/** Which endpoint keeps a shared part of prompts, agreed on by all daemons without a word. */
import type { PromptPart } from '../work/index.ts'
import type { EndpointView } from './endpoint_view.ts'
import type { Hash32 } from './subset.ts'

/**
 * Finds the endpoint that requests with the same beginning go to when nothing else decides.
 *
 * The last part of a prompt is its own; the one before it is shared with the other requests about the same matter. A part that is read at one
 * endpoint serves them all, and leaves the others' memory to other parts. When an endpoint goes, only its own parts move.
 * @returns Undefined for a prompt that shares nothing.
 */
export function homeEndpoint (parts: readonly PromptPart[], candidates: readonly EndpointView[], hash: Hash32): EndpointView | undefined {
  const shared = parts.at(-2)
  if (!shared) return undefined
  let home: EndpointView | undefined
  let highest = -1
  for (const view of candidates) {
    const rank = hash(`${shared.key}/${view.id}`)
    if (rank <= highest) continue
    highest = rank
    home = view
  }
  return home
}
