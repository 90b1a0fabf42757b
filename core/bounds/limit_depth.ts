/** Bounded nesting of values that another program wrote. */

/**
 * Levels of nesting that are kept of a value which another program wrote. Recursion over such a value needs little of the native stack. No field that a schema
 * reads lies deeper than ten levels, so what is cut off is never read.
 */
export const MAX_DEPTH = 64

/**
 * Replaces every object and array that is nested deeper than `maxDepth` levels by null, in place, and returns the value. Does not recurse, so that it bears any depth.
 * @param value A value as `JSON.parse` returns it.
 * @param maxDepth Levels that are kept. Default {@linkcode MAX_DEPTH}.
 */
export function limitDepth<T> (value: T, maxDepth = MAX_DEPTH): T {
  let level: Container[] = isContainer(value) ? [value] : []
  for (let depth = 1; level.length > 0; depth++) {
    const next: Container[] = []
    for (const container of level) {
      for (const key of Object.keys(container)) {
        const child = container[key]
        if (!isContainer(child)) continue
        if (depth < maxDepth) next.push(child)
        else container[key] = null
      }
    }
    level = next
  }
  return value
}

type Container = Record<string, unknown>

function isContainer (value: unknown): value is Container {
  return typeof value === 'object' && value !== null
}
