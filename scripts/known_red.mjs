// Reads the list of known failing tests. Each line has the form `FILE > TEST | cause | command and seed | what was seen | issue`.
import { readFileSync } from 'node:fs'

/** Maximum number of entries; a longer list would hide real problems. */
const MAX_ENTRIES = 12

/** Reads the list of known failing tests and returns its lines; empty if the file does not exist. */
export function knownRed (path) {
  const lines = read(path).split('\n').filter((line) => line.trim() !== '')
  if (lines.length > MAX_ENTRIES) throw new Error(`Cannot skip ${lines.length} tests: at most ${MAX_ENTRIES} may be listed as known failures`)
  for (const line of lines) if (!/^\S+_test\.ts > [^|]+\|/.test(line)) throw new Error(`Cannot read known failure: expected "FILE > TEST | cause | ...", got ${JSON.stringify(line)}`)
  return lines
}

/** Returns a pattern that matches all test names except those in the given lines. */
export function allBut (lines) {
  const names = lines.map((line) => line.slice(line.indexOf(' > ') + 3, line.indexOf('|')).trim().replace(/[.*+?^${}()|[\]\\]/g, '\\$&'))
  return new RegExp(`^(?!(?:${names.join('|')})$)`)
}

function read (path) {
  try {
    return readFileSync(path, 'utf8')
  } catch (err) {
    if (err.code === 'ENOENT') return ''
    throw err
  }
}
