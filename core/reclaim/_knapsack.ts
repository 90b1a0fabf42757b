/** 0/1 knapsack by dynamic programming over a fixed number of capacity steps. */

const STEPS = 256

/** Indexes of the items that together are worth most within the capacity; sizes are rounded up, so the choice always fits. */
export function knapsack (items: readonly { size: number, value: number }[], capacity: number): number[] {
  if (capacity <= 0) return []
  if (items.reduce((sum, item) => sum + item.size, 0) <= capacity) return items.map((_, i) => i)
  const best = new Float64Array(STEPS + 1)
  const taken = items.map(() => new Uint8Array(STEPS + 1))
  const steps = items.map((item) => Math.max(1, Math.ceil(item.size * STEPS / capacity)))
  items.forEach((item, i) => {
    for (let room = STEPS; room >= steps[i]!; room--) {
      const withItem = best[room - steps[i]!]! + item.value
      if (withItem <= best[room]!) continue
      best[room] = withItem
      taken[i]![room] = 1
    }
  })
  return chosen(taken, steps)
}

function chosen (taken: readonly Uint8Array[], steps: readonly number[]): number[] {
  const picks: number[] = []
  let room = STEPS
  for (let i = taken.length - 1; i >= 0; i--) {
    if (!taken[i]![room]) continue
    picks.push(i)
    room -= steps[i]!
  }
  return picks
}
