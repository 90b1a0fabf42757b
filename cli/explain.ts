/** The command that explains a request from logs. */
import { readFile } from 'node:fs/promises'
import { text } from 'node:stream/consumers'
import { InvalidError } from '../core/config/validate.ts'
import { explainRequest, readLog } from '../daemon/explain/index.ts'

/** Options of {@linkcode runExplain}. */
export interface RunExplainOptions {
  /** Logs to read together; standard input where there are none. */
  files: readonly string[]
  json?: boolean | undefined
  print (line: string): void
}

/**
 * Prints what became of a request.
 * @returns False when no line names it.
 * @throws {InvalidError} When a file cannot be read.
 */
export async function runExplain (request: string, options: RunExplainOptions): Promise<boolean> {
  const logs = options.files.length > 0 ? await Promise.all(options.files.map(readOne)) : [await text(process.stdin)]
  const story = explainRequest(readLog(logs.join('\n')), request)
  if (options.json) {
    options.print(JSON.stringify(story))
  } else {
    for (const { afterMs, daemon, text } of story.steps) options.print(`${String(afterMs).padStart(7)} ms  ${daemon}  ${text}`)
    options.print(`likely cause: ${story.cause}`)
  }
  return story.steps.length > 0
}

async function readOne (file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8')
  } catch (err) {
    throw new InvalidError('command line', [`Cannot read ${file}: ${(err as Error).message}`])
  }
}
