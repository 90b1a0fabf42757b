/** Bounded fields of log lines. */

/** Longest text of one log line's fields together, in UTF-16 code units. */
export const MAX_LINE_CHARS = 16_384

const MAX_TEXT_CHARS = 1000
const MAX_DEPTH = 6

/** Returns the fields of a log line with long texts shortened and what exceeds {@linkcode MAX_LINE_CHARS} or is nested too deeply left out, whatever values they have. */
export function boundFields (fields: object): object {
  return bound(fields, 0, { chars: MAX_LINE_CHARS }) as object
}

function bound (value: unknown, depth: number, left: { chars: number }): unknown {
  if (typeof value === 'string') return take(value, left)
  left.chars -= 8
  if (typeof value === 'bigint' || typeof value === 'symbol' || typeof value === 'function') return take(String(value), left)
  if (typeof value !== 'object' || value === null) return value
  if (depth === MAX_DEPTH) return '…'
  const bounded: unknown[] | Record<string, unknown> = Array.isArray(value) ? [] : Object.create(null)
  for (const name of Object.keys(value)) {
    if (left.chars <= 0) {
      if (Array.isArray(bounded)) bounded.push('…')
      else bounded['…'] = true
      break
    }
    const item = (value as Record<string, unknown>)[name]
    if (Array.isArray(bounded)) bounded.push(bound(item, depth + 1, left))
    else bounded[take(name, left)] = bound(item, depth + 1, left)
  }
  return bounded
}

function take (text: string, left: { chars: number }): string {
  const max = Math.max(0, Math.min(MAX_TEXT_CHARS, left.chars))
  left.chars -= Math.min(text.length, max)
  return text.length <= max ? text : `${text.slice(0, max)}…`
}
