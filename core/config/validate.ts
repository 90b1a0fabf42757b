/** Validation of settings and configuration, with one message for each invalid field. */
import { parse, printParseErrorCode, type ParseError } from 'jsonc-parser'
import type { z } from 'zod'

/** Settings or configuration are invalid; `problems` contains one message for each invalid field. */
export class InvalidError extends Error {
  override name = 'InvalidError'
  readonly problems: readonly string[]

  constructor (what: string, problems: readonly string[]) {
    super(`Cannot use ${what}: ${problems.join('; ')}`)
    this.problems = problems
  }
}

/** Returns the problems of an {@linkcode InvalidError}, or the message of any other error. */
export function problemsOf (err: unknown): readonly string[] {
  return err instanceof InvalidError ? err.problems : [(err as Error).message]
}

/**
 * Validates a value and reports every invalid field with its path, the expected and the found value.
 * @param what Description of the value for the error message.
 * @throws {InvalidError} If any field is invalid.
 */
export function validate<S extends z.ZodType> (schema: S, value: unknown, what = 'value'): z.infer<S> {
  const result = schema.safeParse(value)
  if (result.success) return result.data
  throw new InvalidError(what, result.error.issues.map((issue) => formatIssue(issue, value)))
}

/**
 * Parses JSON with comments and validates it.
 * @throws {InvalidError} If the text does not parse or a field is invalid.
 */
export function parseJsonc<S extends z.ZodType> (schema: S, text: string, what = 'file'): z.infer<S> {
  const errors: ParseError[] = []
  const value = parse(text, errors, { allowTrailingComma: true })
  if (errors.length > 0) {
    throw new InvalidError(what, errors.map((err) => `line ${lineNumberAt(text, err.offset)}: ${printParseErrorCode(err.error)}`))
  }
  return validate(schema, value, what)
}

function formatIssue (issue: z.core.$ZodIssue, root: unknown): string {
  const path = issue.path.map(String).join('.') || '(top)'
  if (issue.code === 'custom') return `${path}: ${issue.message}`
  if (issue.code === 'unrecognized_keys') return issue.keys.map((key) => `${[...issue.path, key].join('.')}: expected no such field`).join('; ')
  const found = JSON.stringify(issue.path.reduce<unknown>((at, key) => (at as Record<PropertyKey, unknown> | undefined)?.[key], root))
  return `${path}: ${issue.message}, found ${found ?? 'nothing'}`
}

function lineNumberAt (text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length
}
