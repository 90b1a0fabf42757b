/** Reading of files whose paths operators give. */
import { readFileSync } from 'node:fs'
import { InvalidError } from '../core/config/validate.ts'

/**
 * Reads a UTF-8 text file.
 * @throws {InvalidError} If the file cannot be read.
 */
export function readTextFile (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (err) {
    throw new InvalidError(path, [(err as Error).message])
  }
}
