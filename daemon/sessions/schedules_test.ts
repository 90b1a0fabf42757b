import fc from 'fast-check'
import { expect, test } from 'vitest'
import { announcedSchedule, anySchedule, runSchedule, type SessionEvent } from '../../bench/_schedule.ts'

const SEED = 21

test('under any announced events every request is answered once and completely', async () => {
  await fc.assert(fc.asyncProperty(announcedSchedule, async (events) => {
    const { violations, unanswered } = await runSchedule(events)
    expect(violations).toEqual([])
    expect(unanswered).toEqual([])
  }), { seed: SEED, numRuns: 120 })
})

test('under any faults no answer is truncated, duplicated or mixed up, and every caller gets the true outcome', async () => {
  await fc.assert(fc.asyncProperty(anySchedule, async (events) => {
    expect((await runSchedule(events)).violations).toEqual([])
  }), { seed: SEED, numRuns: 120 })
})

// Regression tests: schedules that once failed, each with the failure that callers saw and its cause.
const REGRESSIONS: Array<[string, SessionEvent[]]> = [
  [
    // A reclaimed host gets new requests. The lagging host list is empty for a while, so the host is removed, and when the list shows it as
    // live again, it is taken for a new host: the leaving state was stored with the endpoint and not with the host.
    'a leaving host that disappears from the host list and reappears is still leaving',
    [
      { type: 'reclaim-host', host: 0, noticeMs: 4000 }, { type: 'lag-list' }, { type: 'wait', ms: 999 }, { type: 'reclaim-domain', domain: 0, noticeMs: 2000 },
      { type: 'submit', kind: 'review', daemon: 0, size: 1 }, { type: 'submit', kind: 'review', daemon: 0, size: 1 }, { type: 'submit', kind: 'review', daemon: 11, size: 1 }
    ]
  ],
  [
    // A request whose daemon drained is reported as lost. Two daemons drain at the same time, and the leave message of one is lost when its
    // links close, so its peers take it for crashed, and an heir chosen before the drain resumes a stream that has already ended elsewhere.
    'a leaving daemon\'s last message is delivered, and only its latest heir answers for it',
    [
      { type: 'submit', kind: 'review', daemon: 10, size: 112 }, { type: 'submit', kind: 'review', daemon: 0, size: 1 },
      { type: 'drain', daemon: 0 }, { type: 'drain', daemon: 0 }, { type: 'submit', kind: 'review', daemon: 0, size: 1 }
    ]
  ],
  [
    // A caller resends a request and is told that no daemon holds the answer, while it is still being generated. A daemon that had just
    // started had accepted the request, and the daemon asked did not know of that daemon yet.
    'an answer held by a daemon that just started is found',
    [
      { type: 'drain', daemon: 0 }, { type: 'submit', kind: 'letter', daemon: 8, size: 1 },
      { type: 'repeat', of: 0, daemon: 0 }, { type: 'repeat', of: 0, daemon: 0 }
    ]
  ],
  [
    // A caller that resent a request waits forever. It reads the answer through another daemon, and when the two daemons are partitioned no
    // connection closes, so the open call lasts until its timeout of ten minutes.
    'following an answer at another daemon ends if the network between them is partitioned',
    [
      { type: 'submit', kind: 'letter', daemon: 1, size: 1 }, { type: 'wait', ms: 0 }, { type: 'repeat', of: 0, daemon: 10 },
      { type: 'submit', kind: 'review', daemon: 0, size: 1 }, { type: 'submit', kind: 'review', daemon: 0, size: 1 },
      { type: 'part', a: 0, b: 10 }, { type: 'submit', kind: 'review', daemon: 0, size: 1 }, { type: 'double-chunks', host: 0 }, { type: 'wait', ms: 1 }
    ]
  ],
  [
    // An answer arrives without its first half, but ends as if complete. It is read through another daemon, a short partition between the
    // two loses a part of it, and the next part was taken for the lost one.
    'a missing part of an answer followed at another daemon is detected',
    [
      { type: 'submit', kind: 'letter', daemon: 0, size: 2 }, { type: 'repeat', of: 0, daemon: 4 }, { type: 'wait', ms: 3 }, { type: 'part', a: 4, b: 0 },
      { type: 'wait', ms: 46 }, { type: 'repeat', of: 0, daemon: 0 }, { type: 'double-chunks', host: 0 }, { type: 'lag-list' },
      { type: 'repeat', of: 0, daemon: 0 }, { type: 'reclaim-domain', domain: 0, noticeMs: 2000 }
    ]
  ]
]

test.each(REGRESSIONS)('%s', async (_name, events) => {
  const { violations, unanswered } = await runSchedule(events)
  expect(violations).toEqual([])
  expect(unanswered).toEqual([])
})
