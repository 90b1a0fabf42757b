// Reads which tests are known to fail: one line each, `FILE > TEST | cause | command and seed | what was seen | issue`.
import { readFileSync } from 'node:fs'

/** More would hide what is broken. */
const MOST = 3

/** Lines of the list; none where there is no list. */
export function knownRed (path) {
  const lines = read(path).split('\n').filter((line) => line.trim() !== '')
  if (lines.length > MOST) throw new Error(`Cannot pass over ${lines.length} tests: at most ${MOST} may be known to fail`)
  for (const line of lines) if (!/^\S+_test\.ts > [^|]+\|/.test(line)) throw new Error(`Cannot read known failure: expected "FILE > TEST | cause | ...", got ${JSON.stringify(line)}`)
  return lines
}

/** A pattern of test names that leaves out just those. */
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
