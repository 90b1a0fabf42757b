import { expect, test } from 'vitest'
import { assumeDown, checked, checkStarted, endTrial, recordActivity, isRecheckDue, newPath, suspect, type Path } from './index.ts'

/** Returns a path that is being checked since time 1000. */
function checkedPath (activeAtMs: number): Path {
  return suspect(recordActivity(newPath(0), activeAtMs), 'connect-failed', 1000)
}

test('a path is down once a check fails, and recovers by way of a trial', () => {
  const down = checked(checkedPath(0), 'unanswered', 1300)
  expect(down).toMatchObject({ state: 'down', sinceMs: 1300 })
  expect([isRecheckDue(down, 1400), isRecheckDue(down, 1500)]).toEqual([false, true])
  const trial = checked(checkStarted(down, 1500), 'accepted', 1503)
  expect(trial.state).toBe('trial')
  expect(recordActivity(trial, 1600).state).toBe('open')
  expect([endTrial(trial, 1900).state, endTrial(trial, 2003).state]).toEqual(['trial', 'open'])
})

test('a silent endpoint that accepts a connection keeps its path', () => {
  // Guards against a sound endpoint that pauses for a second being taken for one that cannot be reached.
  const path = checked(suspect(newPath(0), 'connection-silent', 1000), 'accepted', 1005)
  expect(path.state).toBe('open')
  expect(suspect(path, 'connection-silent', 2000).state).toBe('open')
  expect(suspect(path, 'connection-silent', 3000).state).toBe('checking')
})

test('a connection that fails is checked although silence was checked a moment before', () => {
  // Guards against a cut that is noticed late, because an earlier suspicion turned out wrong.
  const path = checked(suspect(newPath(0), 'connection-silent', 1000), 'accepted', 1005)
  expect(suspect(path, 'connect-failed', 1200).state).toBe('checking')
})

test('an endpoint that still sends over open connections while it refuses new ones keeps those', () => {
  const path = checked(checkedPath(990), 'refused', 1002)
  expect(path.state).toBe('established-only')
  expect(checked(checkStarted(path, 1600), 'refused', 1602).state).toBe('down')
  expect(checked(recordActivity(path, 1600), 'accepted', 1602).state).toBe('open')
})

test('a lost packet does not take down a path over which the endpoint has just sent something', () => {
  // Guards against a lossy network being taken for a cut.
  expect(checked(checkedPath(1200), 'unanswered', 1300).state).toBe('open')
})

test('a path that was not checked is down only if its endpoint has sent nothing lately', () => {
  expect(assumeDown(newPath(0), 1000).state).toBe('down')
  expect(assumeDown(recordActivity(newPath(0), 900), 1000).state).toBe('open')
})

test('a path on trial is down again at the first sign of trouble', () => {
  // Guards against a cut that comes and goes: each return would cost the requests that are sent before the next check.
  const trial = checked(checked(checkedPath(0), 'refused', 1003), 'accepted', 1600)
  expect(suspect(trial, 'connection-silent', 1700).state).toBe('down')
})
