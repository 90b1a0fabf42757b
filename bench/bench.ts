/** Benchmark interface and statistics helpers shared by all benchmarks. */

/** Options of a benchmark run. */
export interface BenchOptions {
  seed: number
  /** Size of the run, for benchmarks that have one. */
  count: number | undefined
  print: (line: string) => void
}

/** Measured values by name, those of the product next to those of its baseline. */
export type Figures = Record<string, unknown>

/** A benchmark that can be run by name from the command line. */
export interface Bench {
  name: string
  about: string
  run (options: BenchOptions): Figures | Promise<Figures>
}

/** Returns the `q`-quantile of the values, or 0 if there are none. */
export function quantile (values: readonly number[], q: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * q))] ?? 0
}

/** Returns the least-squares slope of y over x, or 0 if all x are equal. */
export function slope (points: readonly { x: number, y: number }[]): number {
  const mean = (pick: (point: { x: number, y: number }) => number) => points.reduce((sum, point) => sum + pick(point), 0) / points.length
  const meanX = mean((point) => point.x)
  const meanY = mean((point) => point.y)
  const numerator = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0)
  const denominator = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  return denominator === 0 ? 0 : numerator / denominator
}

/** Rounds a value to a number of decimal places for output. */
export function round (value: number, digits = 2): number {
  return Number(value.toFixed(digits))
}
