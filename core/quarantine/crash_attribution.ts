/** Attributes crashes of endpoints to the requests that cause them (queries of death). */
import type { EndpointId, Fingerprint } from '../ids/index.ts'

/** Number of crashes that a request, or a part of prompts, must account for before they are attributed to it. */
export const MIN_CRASHES = 3
/** Number of crashes after which they are attributed to one of several indistinguishable requests. */
const MIN_CRASHES_IF_AMBIGUOUS = 5

/**
 * Attributes crashes to requests, greedily by the number of crashes that a request was running in.
 *
 * A crash attributed to one request no longer counts against any other, so a request that merely ran alongside the cause is not suspected.
 * Requests that were running in exactly the same crashes are all spared until one of them is answered or crashes an endpoint without the
 * others.
 * @param suspects Requests that may have caused each crash, by endpoint.
 * @returns The requests to quarantine.
 */
export function attributeCrashes (suspects: ReadonlyMap<EndpointId, ReadonlySet<Fingerprint>>): Set<Fingerprint> {
  const unattributed = new Map(suspects)
  const culprits = new Set<Fingerprint>()
  for (;;) {
    const crashes = crashesByRequest(unattributed)
    const maxCrashes = [...crashes.values()].reduce((max, { size }) => Math.max(max, size), 0)
    if (maxCrashes < MIN_CRASHES) return culprits
    // Sorted, so that all daemons that know the same crashes select the same request.
    const [first, ...others] = [...crashes.keys()].filter((request) => crashes.get(request)!.size === maxCrashes).sort()
    const attributed = crashes.get(first!)!
    const isAmbiguous = others.some((other) => isSameSet(attributed, crashes.get(other)!))
    if (!isAmbiguous || maxCrashes >= MIN_CRASHES_IF_AMBIGUOUS) culprits.add(first!)
    for (const endpoint of attributed) unattributed.delete(endpoint)
  }
}

function crashesByRequest (suspects: ReadonlyMap<EndpointId, ReadonlySet<Fingerprint>>): Map<Fingerprint, Set<EndpointId>> {
  const crashes = new Map<Fingerprint, Set<EndpointId>>()
  for (const [endpoint, requests] of suspects) {
    for (const request of requests) {
      const known = crashes.get(request)
      if (known) known.add(endpoint)
      else crashes.set(request, new Set([endpoint]))
    }
  }
  return crashes
}

function isSameSet (a: ReadonlySet<EndpointId>, b: ReadonlySet<EndpointId>): boolean {
  return a.size === b.size && [...a].every((endpoint) => b.has(endpoint))
}
