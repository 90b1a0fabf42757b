/** Distinguishes the two kinds of settings files. */
import { parse } from 'jsonc-parser'
import { readTextFile } from '../daemon/read_text_file.ts'

/**
 * Returns true for the settings of a platform daemon.
 * @throws {InvalidError} If the file cannot be read.
 */
export function isPlatformSettings (path: string): boolean {
  const settings: unknown = parse(readTextFile(path))
  return typeof settings === 'object' && settings !== null && 'adapter' in settings && settings.adapter === 'platform'
}
