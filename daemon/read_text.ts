/** Files that operators name. */
import { readFileSync } from 'node:fs'
import { InvalidError } from '../core/config/validate.ts'

/**
 * Reads a file.
 * @throws {InvalidError} When it cannot be read.
 */
export function readText (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (err) {
    throw new InvalidError(path, [(err as Error).message])
  }
}
