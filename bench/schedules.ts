/** Long runs of random fault schedules. A failure prints the seed, path and schedule needed to reproduce it. */
import fc from 'fast-check'
import { announcedSchedule, anySchedule, runSchedule } from './_schedule.ts'
import type { Bench, Figures } from './bench.ts'

const DEFAULT_COUNT = 200

/** `npm run bench -- schedules --count 10000`. */
export const schedulesBench: Bench = {
  name: 'schedules',
  about: 'random fault schedules over simulated sessions, checked against the guarantees',
  async run ({ seed, count, print }) {
    const runs = Math.ceil((count ?? DEFAULT_COUNT) / 2)
    const from = process.hrtime.bigint()
    const announced = await check('announced', { arbitrary: announcedSchedule, mustAnswer: true, runs, seed, print })
    const any = await check('any', { arbitrary: anySchedule, mustAnswer: false, runs, seed, print })
    return { schedules: runs * 2, announced, any, seconds: Number((process.hrtime.bigint() - from) / 1_000_000_000n) }
  }
}

interface CheckOptions { arbitrary: typeof anySchedule, mustAnswer: boolean, runs: number, seed: number, print: (line: string) => void }

async function check (name: string, options: CheckOptions): Promise<Figures> {
  const outcomes: Record<string, number> = {}
  let runs = 0
  const result = await fc.check(fc.asyncProperty(options.arbitrary, async (events) => {
    const { violations, outcomes: told, unanswered } = await runSchedule(events, options.seed)
    if (++runs % 100 === 0) options.print(`  ${name}: ${runs} schedules`)
    for (const [outcome, count] of Object.entries(told)) outcomes[outcome] = (outcomes[outcome] ?? 0) + count
    if (violations.length > 0) throw new Error(violations.join('; '))
    if (options.mustAnswer && unanswered.length > 0) throw new Error(unanswered.join('; '))
  }), { seed: options.seed, numRuns: options.runs, endOnFailure: false, interruptAfterTimeLimit: 1e9 })
  if (result.failed) {
    options.print(`${name}: failed after ${result.numRuns} schedules, seed ${result.seed}, path ${result.counterexamplePath}`)
    options.print(JSON.stringify(result.counterexample))
    options.print(String(result.errorInstance))
  }
  return { runs: result.numRuns, failed: result.failed, outcomes }
}
