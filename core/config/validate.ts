/** Validation of settings and configuration, with one message for each invalid field. */
import { parse, printParseErrorCode, type ParseError } from 'jsonc-parser'
import type { z } from 'zod'
import { excerpt, shorten } from '../bounds/index.ts'

/** Problems of a value that are named; there may be as many as it has fields. */
const MAX_PROBLEMS = 100

/** Settings or configuration are invalid; `problems` contains one message for each invalid field. */
export class InvalidError extends Error {
  override name = 'InvalidError'
  readonly problems: readonly string[]

  constructor (what: string, problems: readonly string[]) {
    super(`Cannot use ${shorten(what)}: ${problems.join('; ')}`)
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
  throw new InvalidError(what, formatIssues(result.error.issues, value))
}

/**
 * Parses JSON with comments and validates it.
 * @throws {InvalidError} If the text does not parse or a field is invalid.
 */
export function parseJsonc<S extends z.ZodType> (schema: S, text: string, what = 'file'): z.infer<S> {
  const errors: ParseError[] = []
  const value = parseText(text, { errors, what })
  if (errors.length > 0) {
    throw new InvalidError(what, errors.map((err) => `line ${lineNumberAt(text, err.offset)}: ${printParseErrorCode(err.error)}`))
  }
  return validate(schema, value, what)
}

/** The parser recurses, so it fails for a text that is nested more deeply than the stack bears. */
function parseText (text: string, { errors, what }: { errors: ParseError[], what: string }): unknown {
  try {
    return parse(text, errors, { allowTrailingComma: true })
  } catch (err) {
    throw new InvalidError(what, [`cannot be parsed: ${(err as Error).message}`])
  }
}

function formatIssues (issues: readonly z.core.$ZodIssue[], root: unknown): string[] {
  const problems = issues.slice(0, MAX_PROBLEMS).map((issue) => formatIssue(issue, root))
  return issues.length > MAX_PROBLEMS ? [...problems, `and ${issues.length - MAX_PROBLEMS} more`] : problems
}

function formatIssue (issue: z.core.$ZodIssue, root: unknown): string {
  const path = shorten(issue.path.map(String).join('.')) || '(top)'
  if (issue.code === 'custom') return `${path}: ${issue.message}`
  if (issue.code === 'unrecognized_keys') return issue.keys.slice(0, MAX_PROBLEMS).map((key) => `${shorten([...issue.path, key].join('.'))}: expected no such field`).join('; ')
  const found = excerpt(issue.path.reduce<unknown>((at, key) => (at as Record<PropertyKey, unknown> | undefined)?.[key], root))
  return `${path}: ${issue.message}, found ${found ?? 'nothing'}`
}

function lineNumberAt (text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length
}
