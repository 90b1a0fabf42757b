/** What every bench is, and how its figures are kept. */

/** Options of one run. */
export interface BenchOptions {
  seed: number
  /** Size of the run, where a bench has one. */
  count: number | undefined
  print: (line: string) => void
}

/** Figures by name; the product's and its baseline's side by side. */
export type Figures = Record<string, unknown>

/** One bench. */
export interface Bench {
  name: string
  about: string
  run (options: BenchOptions): Figures | Promise<Figures>
}

/** The value below which a fraction of the values lies. */
export function quantile (values: readonly number[], q: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * q))] ?? 0
}

/** Least-squares slope of y over x. */
export function slope (points: readonly { x: number, y: number }[]): number {
  const mean = (pick: (point: { x: number, y: number }) => number) => points.reduce((sum, point) => sum + pick(point), 0) / points.length
  const mx = mean((point) => point.x)
  const my = mean((point) => point.y)
  const above = points.reduce((sum, { x, y }) => sum + (x - mx) * (y - my), 0)
  const below = points.reduce((sum, { x }) => sum + (x - mx) ** 2, 0)
  return below === 0 ? 0 : above / below
}

/** Rounds for a table. */
export function round (value: number, digits = 2): number {
  return Number(value.toFixed(digits))
}
