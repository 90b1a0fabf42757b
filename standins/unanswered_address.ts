/** Loopback address whose connection attempts are never answered, as behind a network partition. */
import { once } from 'node:events'
import { connect, type Socket } from 'node:net'
import { Worker } from 'node:worker_threads'

/**
 * Listens on a thread that accepts nothing. Once the queue of the listening socket is full, the kernel drops the packets that open connections.
 */
const LISTENER = `
const { parentPort, workerData } = require('node:worker_threads')
const server = require('node:net').createServer()
server.listen({ port: 0, host: '127.0.0.1', backlog: 1 }, () => {
  parentPort.postMessage(server.address().port)
  setImmediate(() => Atomics.wait(new Int32Array(workerData), 0, 0))
})
`
/** Connections that fill the queue: the backlog and one more. */
const QUEUE_LENGTH = 2

/** An address at which connection attempts time out. */
export class UnansweredAddress {
  readonly address: string
  readonly #worker: Worker
  readonly #fillers: Socket[]

  private constructor (address: string, worker: Worker, fillers: Socket[]) {
    this.address = address
    this.#worker = worker
    this.#fillers = fillers
  }

  static async open (): Promise<UnansweredAddress> {
    const worker = new Worker(LISTENER, { eval: true, workerData: new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT) })
    const [port] = await once(worker, 'message') as [number]
    const fillers = Array.from({ length: QUEUE_LENGTH }, () => connect({ port, host: '127.0.0.1' }).on('error', () => { /* reset when the listener ends */ }))
    await Promise.all(fillers.map((filler) => once(filler, 'connect')))
    return new UnansweredAddress(`127.0.0.1:${port}`, worker, fillers)
  }

  async close (): Promise<void> {
    for (const filler of this.#fillers) filler.destroy()
    await this.#worker.terminate()
  }
}
