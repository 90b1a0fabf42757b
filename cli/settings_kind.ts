/** Distinguishes the two kinds of settings files. */
import { z } from 'zod'
import { parseJsonc } from '../core/config/validate.ts'
import { readTextFile } from '../daemon/read_text_file.ts'

const kindSchema = z.object({ adapter: z.unknown().optional() })

/**
 * Returns true for the settings of a platform daemon.
 * @throws {InvalidError} If the file cannot be read or does not contain an object.
 */
export function isPlatformSettings (path: string): boolean {
  return parseJsonc(kindSchema, readTextFile(path), path).adapter === 'platform'
}
