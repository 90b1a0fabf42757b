/** Tells the two kinds of settings files apart. */
import { parse } from 'jsonc-parser'
import { readText } from '../daemon/read_text.ts'

/**
 * True for the settings of a daemon on the platform.
 * @throws {InvalidError} When the file cannot be read.
 */
export function isForPlatform (path: string): boolean {
  const settings: unknown = parse(readText(path))
  return typeof settings === 'object' && settings !== null && 'adapter' in settings && settings.adapter === 'platform'
}
