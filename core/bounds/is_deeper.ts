/** Check of the nesting of a decoded message. */
import { MAX_DEPTH } from './limit_depth.ts'

/**
 * Returns true for a value that is nested deeper than `maxDepth` levels, in objects, arrays, maps and sets. Does not recurse, so that it bears any depth.
 * @param maxDepth Default {@linkcode MAX_DEPTH}.
 */
export function isDeeperThan (value: unknown, maxDepth = MAX_DEPTH): boolean {
  let level: unknown[] = [value]
  for (let depth = 0; level.length > 0; depth++) {
    const next: unknown[] = []
    for (const each of level) {
      if (typeof each !== 'object' || each === null || ArrayBuffer.isView(each)) continue
      if (depth === maxDepth) return true
      for (const child of childrenOf(each)) if (typeof child === 'object' && child !== null) next.push(child)
    }
    level = next
  }
  return false
}

/** The children of an error are its own properties too, among them its cause. */
function childrenOf (value: object): unknown[] {
  if (value instanceof Map) return [...value].flat()
  if (value instanceof Set || Array.isArray(value)) return [...value]
  return value instanceof Error ? Object.getOwnPropertyNames(value).map((name) => (value as unknown as Record<string, unknown>)[name]) : Object.values(value)
}
