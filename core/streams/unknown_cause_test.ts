import { expect, test } from 'vitest'
import { as, type EndpointVersion } from '../ids/index.ts'
import { causeOfUnknown } from './unknown_cause.ts'
import type { VersionEvidence } from './version_judge.ts'

const seen = (...versions: string[]): VersionEvidence => ({ record: undefined, versions: versions.map((version) => as<EndpointVersion>(version)) })
const asked = { isNamed: true, isJoined: true, isStoreRead: true }

test.each<[string, Parameters<typeof causeOfUnknown>]>([
  ['store-not-read', [{ type: 'unknown' }, [seen('v1')], { ...asked, isStoreRead: false }]],
  ['not-joined', [{ type: 'unreachable' }, [seen('v1')], { ...asked, isJoined: false }]],
  ['no-answer', [{ type: 'unreachable' }, [seen('v1')], asked]],
  ['unnamed', [{ type: 'unknown' }, [seen('v1')], { ...asked, isNamed: false }]],
  ['several-versions', [{ type: 'unknown' }, [seen('v1'), seen('v2')], asked]],
  ['not-confirmed', [{ type: 'unknown' }, [seen('v1'), seen('v1')], asked]]
])('the cause is %s', (cause, args) => {
  expect(causeOfUnknown(...args)).toBe(cause)
})
