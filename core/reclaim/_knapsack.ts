/** Solves the 0/1 knapsack problem by dynamic programming over a fixed number of capacity steps. */

const CAPACITY_STEPS = 256

/** Returns the indexes of the items with the highest total value within the capacity. Sizes are rounded up to whole steps, so the selection always fits. */
export function knapsack (items: readonly { size: number, value: number }[], capacity: number): number[] {
  if (capacity <= 0) return []
  if (items.reduce((sum, item) => sum + item.size, 0) <= capacity) return items.map((_, i) => i)
  const bestValue = new Float64Array(CAPACITY_STEPS + 1)
  const isTaken = items.map(() => new Uint8Array(CAPACITY_STEPS + 1))
  const sizeInSteps = items.map((item) => Math.max(1, Math.ceil(item.size * CAPACITY_STEPS / capacity)))
  items.forEach((item, i) => {
    for (let capacityStep = CAPACITY_STEPS; capacityStep >= sizeInSteps[i]!; capacityStep--) {
      const valueWithItem = bestValue[capacityStep - sizeInSteps[i]!]! + item.value
      if (valueWithItem <= bestValue[capacityStep]!) continue
      bestValue[capacityStep] = valueWithItem
      isTaken[i]![capacityStep] = 1
    }
  })
  return backtrack(isTaken, sizeInSteps)
}

function backtrack (isTaken: readonly Uint8Array[], sizeInSteps: readonly number[]): number[] {
  const selected: number[] = []
  let remainingSteps = CAPACITY_STEPS
  for (let i = isTaken.length - 1; i >= 0; i--) {
    if (!isTaken[i]![remainingSteps]) continue
    selected.push(i)
    remainingSteps -= sizeInSteps[i]!
  }
  return selected
}
