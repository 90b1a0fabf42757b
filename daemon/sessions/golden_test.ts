import { expect, test } from 'vitest'
import { Session, type Caller } from '../../bench/_session.ts'
import type { Decision } from '../request/work.ts'
import { TokenTask } from '../request/token_task.ts'

interface Scenario { name: string, run (session: Session): Promise<void> }

const review = (session: Session, which: number, key: string, maxTokens: number) => session.submit(session.daemons[which]!, { kind: 'review', key, input: `${key} `.padEnd(4000, 'case file '), maxTokens })
const letter = (session: Session, which: number, key: string) => session.submit(session.daemons[which]!, { kind: 'letter', key, input: `${key} `.padEnd(800, 'draft '), maxTokens: 60 })

const SCENARIOS: Scenario[] = [
  {
    name: 'domain_reclaimed',
    async run (session) {
      for (let i = 0; i < 6; i++) review(session, i % 3, `review-${i}`, 60 + i * 40)
      letter(session, 0, 'letter-0')
      await session.advance(1500)
      session.reclaim(session.cloud.hostsIn('a'), 2000)
    }
  },
  {
    name: 'daemon_drained',
    async run (session) {
      review(session, 0, 'long', 300)
      review(session, 0, 'short', 20)
      letter(session, 0, 'letter')
      await session.advance(500)
      session.drain(session.daemons[0]!)
    }
  },
  {
    name: 'daemon_dies_in_a_reclaim',
    async run (session) {
      review(session, 1, 'first', 200)
      letter(session, 1, 'letter')
      await session.advance(1000)
      session.reclaim(session.cloud.hostsIn('a'), 10_000)
      await session.advance(200)
      await session.kill(session.daemons[1]!)
    }
  }
]

test.each(SCENARIOS)('golden session: $name', async ({ name, run }) => {
  const decisions = recordDecisions()
  const session = await Session.start(4)
  const from = Date.now()
  try {
    await run(session)
    await session.advance(60_000)
    const text = [...session.callers.map(callerLine), '', ...decisions.lines(from), ''].join('\n')
    expect(session.violations()).toEqual([])
    await expect(text).toMatchFileSnapshot(`testdata/${name}.golden.txt`)
  } finally {
    decisions.stop()
    await Promise.all(session.daemons.map((daemon) => daemon.kill()))
    session.stop()
  }
})

function callerLine ({ kind, key, outcome, reason, tokens }: Caller): string {
  return `${kind} ${key}: ${outcome} (${reason}), ${tokens.length} tokens`
}

/** Collects the decisions about all requests on all daemons, in chronological order. */
function recordDecisions () {
  const seen: Array<{ task: TokenTask, decision: Decision }> = []
  const decide = TokenTask.prototype.recordDecision
  TokenTask.prototype.recordDecision = function (this: TokenTask, ...args: Parameters<typeof decide>) {
    decide.apply(this, args)
    seen.push({ task: this, decision: this.decisions.at(-1)! })
  }
  return {
    stop: () => { TokenTask.prototype.recordDecision = decide },
    lines: (from: number) => seen.map(({ task, decision }) => `${String(decision.atMs - from).padStart(6)} ms  ${task.prompt.split(' ')[0]!.padEnd(10)} ${decision.text}`)
  }
}
