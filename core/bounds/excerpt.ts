/** Short texts for errors and log lines, whatever the value is that they name. */

/** Longest text of a name or a reason that came from another program, in UTF-16 code units. */
export const MAX_EXCERPT_CHARS = 200

const MAX_ITEMS = 5
const MAX_LEVELS = 3

/** Returns a text as it is, or its beginning followed by an ellipsis if it is longer than `maxChars`, in UTF-16 code units. Default {@linkcode MAX_EXCERPT_CHARS}. */
export function shorten (text: string, maxChars = MAX_EXCERPT_CHARS): string {
  return text.length <= maxChars ? text : `${text.slice(0, maxChars)}…`
}

/** Returns a value as JSON, or the beginning of it, of any depth and length; undefined for undefined. */
export function excerpt (value: unknown): string | undefined {
  return value === undefined ? undefined : shorten(format(value, 0))
}

function format (value: unknown, depth: number): string {
  if (typeof value === 'string') return JSON.stringify(shorten(value))
  if (typeof value !== 'object' || value === null) return String(value)
  if (depth === MAX_LEVELS) return Array.isArray(value) ? '[…]' : '{…}'
  if (Array.isArray(value)) return `[${itemsOf(value.slice(0, MAX_ITEMS + 1).map((item) => format(item, depth + 1)))}]`
  return `{${itemsOf(Object.entries(value).slice(0, MAX_ITEMS + 1).map(([name, item]) => `${JSON.stringify(shorten(name))}:${format(item, depth + 1)}`))}}`
}

function itemsOf (items: readonly string[]): string {
  return items.slice(0, MAX_ITEMS).join(',') + (items.length > MAX_ITEMS ? ',…' : '')
}
