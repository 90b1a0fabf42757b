/** Builds what bounds the memory of engines, if the settings ask for it. */
import { EngineMemory } from '../limits/engine_memory.ts'
import { EngineMemoryTask } from '../limits/engine_memory_task.ts'
import type { ProxyComponents } from './_proxy_components.ts'

/** Components that bound what the requests of all daemons hold at an engine. */
export interface EngineMemoryComponents { memory: EngineMemory, task: EngineMemoryTask }

/** Returns the components; undefined if the settings do not ask for them. */
export function engineMemoryComponents ({ self, settings, table, metrics, random, config, fleet, links, limits }: ProxyComponents): EngineMemoryComponents | undefined {
  if (settings.boundsEngineMemory !== true) return undefined
  const memory = new EngineMemory({ table, metrics, random, memoryOf: (pool) => config.inForce?.pools.get(pool)?.engine?.kvTokens, sharers: () => fleet.hostCount })
  return { memory, task: new EngineMemoryTask({ self, links, memory, poolOf: (endpoint) => table.get(endpoint)?.pool, accounts: limits, metrics }) }
}
