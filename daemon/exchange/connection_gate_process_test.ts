import { fork, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { request } from 'node:http'
import { afterEach, beforeEach, expect, test } from 'vitest'

/** Processor time that a request takes, in milliseconds. */
const WORK_MS = 3
/** Requests that wait at once: the work of less than a quarter of a second. */
const BURST = 50
/** Requests after each of which the process stops. */
const STOP_AFTER = 6
const STOPPED_MS = 260
/** Longest time in which the process starts, in milliseconds: its sources are compiled. */
const START_MS = 60_000

let child: ChildProcess
let port: number

beforeEach(async () => {
  child = fork('daemon/exchange/_gated_server_process.ts', [String(WORK_MS), String(STOP_AFTER)], { execArgv: ['--import', 'tsx'], stdio: ['ignore', 'pipe', 'inherit', 'ipc'] });
  [port] = await once(child, 'message') as [number]
  for (let i = 0; i < 10; i++) await ask('/')
}, START_MS)
afterEach(async () => {
  child.kill('SIGKILL')
  await once(child, 'exit')
})

/** Sends one request on a new connection; returns its status, or the error's code. */
function ask (path: string, onConnect?: () => void): Promise<number | string | undefined> {
  return new Promise((resolve) => {
    const req = request({ host: '127.0.0.1', port, path, agent: false }, (res) => {
      res.resume()
      res.on('end', () => resolve(res.statusCode))
    })
    req.on('error', (err: NodeJS.ErrnoException) => resolve(err.code))
    if (onConnect) req.once('socket', (socket) => socket.once('connect', onConnect))
    req.end()
  })
}

test('a process that others hold up for most of the time answers all of a few callers', async () => {
  // Guards against taking the time in which the process does not run for a queue of more connections than it can serve.
  child.kill('SIGSTOP')
  child.stdout!.on('data', () => setTimeout(() => child.kill('SIGCONT'), STOPPED_MS))
  const answers: Array<ReturnType<typeof ask>> = []
  await Promise.all(Array.from({ length: BURST }, () => new Promise<void>((resolve) => { answers.push(ask('/counted', resolve)) })))
  child.kill('SIGCONT')
  expect(await Promise.all(answers)).toEqual(answers.map(() => 404))
})
