import { expect, test } from 'vitest'
import { attemptError } from './_attempt_errors.ts'

const networkError = (code: string, syscall?: string) => Object.assign(new Error(code), { code, ...(syscall && { syscall }) })

test.each(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH'])('%s means that a request has not run only if no connection was open', (code) => {
  // Guards against a second run, and against 503: a connection that carries a request ends with these codes too, once its host is gone.
  expect(attemptError('Cannot send request', networkError(code, 'connect'), { sent: false }).point).toBe('connect-refused')
  expect(attemptError('Cannot call service', networkError(code, 'connect')).point).toBe('connect-refused')
  expect(attemptError('Cannot call service', networkError(code)).point).toBe('connect-refused')
  expect(attemptError('Cannot send request', networkError(code, 'read'), { sent: true }).point).toBe('reset-after-send')
  for (const syscall of ['read', 'write']) expect(attemptError('Cannot call service', networkError(code, syscall)).point).toBe('reset-after-send')
})

test('time limits keep their meaning, and an error before the first byte says that nothing was sent', () => {
  expect(attemptError('Cannot send request', networkError('UND_ERR_CONNECT_TIMEOUT')).outcome).toBe('not-run')
  expect(attemptError('Cannot send request', networkError('UND_ERR_HEADERS_TIMEOUT'), { sent: true }).point).toBe('timeout-after-send')
  expect(attemptError('Cannot send request', networkError('ETIMEDOUT', 'connect'), { sent: false }).point).toBe('before-send')
})
