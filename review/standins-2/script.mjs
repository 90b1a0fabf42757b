/** Frame of a script: runs it on a small deployment, and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
import { Platform, RunRecord } from './platform.mjs'

const BROKEN = 1
const HELD = 0
const NOT_RUN = 2
const TIME_LIMIT_MS = 110_000

/** True if the script is to bring about the disruption. */
export const TROUBLE = process.env.TROUBLE !== '0'

/**
 * Runs a script.
 * @param options.record File for what was sent, answered and run.
 * @param options.deployment Options of the platform.
 * @param body Gets the platform and the record, and returns a description of each break of the rule.
 */
export async function runScript ({ record: file, deployment }, body) {
  const record = new RunRecord(file)
  let platform
  const finish = async (status, text) => {
    clearTimeout(timer)
    await platform?.close()
    record.line(text)
    console.log(text)
    process.exit(status)
  }
  const timer = setTimeout(() => finish(NOT_RUN, 'not run: out of time'), TIME_LIMIT_MS)
  try {
    platform = await Platform.start(deployment)
    const breaks = await body(platform, record)
    for (const each of breaks) record.line(`broken: ${each}`)
    await finish(breaks.length > 0 ? BROKEN : HELD, breaks.length > 0 ? `the rule was broken ${breaks.length} times` : 'the rule held')
  } catch (err) {
    await finish(NOT_RUN, `not run: ${err.stack}`)
  }
}
