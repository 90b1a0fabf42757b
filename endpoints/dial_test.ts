import { createServer, type AddressInfo } from 'node:net'
import { expect, test } from 'vitest'
import { dial } from './dial.ts'

test('dial distinguishes a listening process from a closed port', async () => {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  expect(await dial(`127.0.0.1:${port}`)).toBe('accepted')
  expect(await dial(`http://127.0.0.1:${port}/`)).toBe('accepted')
  await new Promise<void>((resolve) => { server.close(() => resolve()) })
  expect(await dial(`127.0.0.1:${port}`)).toBe('refused')
})
