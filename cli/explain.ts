/** Implementation of the `explain` command, which explains a request from logs. */
import { readFile } from 'node:fs/promises'
import { text } from 'node:stream/consumers'
import { InvalidError } from '../core/config/validate.ts'
import { explainRequest, readLog } from '../daemon/explain/index.ts'

/** Options of {@linkcode runExplain}. */
export interface RunExplainOptions {
  /** Log files, which are merged; standard input is read if there are none. */
  files: readonly string[]
  json?: boolean | undefined
  print (line: string): void
}

/**
 * Prints the steps and the outcome of a request.
 * @returns False if no log line names the request.
 * @throws {InvalidError} If a file cannot be read.
 */
export async function runExplain (request: string, options: RunExplainOptions): Promise<boolean> {
  const logs = options.files.length > 0 ? await Promise.all(options.files.map(readLogFile)) : [await text(process.stdin)]
  const explanation = explainRequest(readLog(logs.join('\n')), request)
  if (options.json) {
    options.print(JSON.stringify(explanation))
  } else {
    for (const { afterMs, daemon, text } of explanation.steps) options.print(`${String(afterMs).padStart(7)} ms  ${daemon}  ${text}`)
    options.print(`likely cause: ${explanation.cause}`)
  }
  return explanation.steps.length > 0
}

async function readLogFile (file: string): Promise<string> {
  try {
    return await readFile(file, 'utf8')
  } catch (err) {
    throw new InvalidError('command line', [`Cannot read ${file}: ${(err as Error).message}`])
  }
}
