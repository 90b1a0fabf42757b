/** Stand-in endpoint that writes raw bytes to the socket, for malformed responses that an HTTP server would not produce. */
import { createServer, type AddressInfo, type Server, type Socket } from 'node:net'

/** A request as received on the socket. */
export interface RawRequest {
  /** Request line and headers, without the terminating blank line. */
  head: string
  body: Buffer
  socket: Socket
  /** Position of the request on its connection, starting at 1. */
  nth: number
}

const HEAD_END = '\r\n\r\n'

/** TCP server that passes each parsed request to a callback, which writes the response to the socket. */
export class RawEndpoint {
  readonly requests: RawRequest[] = []
  readonly #server: Server
  readonly #sockets = new Set<Socket>()
  address = ''

  constructor (answer: (req: RawRequest) => void) {
    this.#server = createServer((socket) => {
      this.#sockets.add(socket)
      socket.on('close', () => this.#sockets.delete(socket))
      socket.on('error', () => { /* callers reset connections on purpose */ })
      this.#parseRequests(socket, answer)
    })
  }

  /** Number of open connections. */
  get connections (): number { return this.#sockets.size }

  /** Starts listening. `port` is chosen by the system by default. */
  async listen (port = 0): Promise<string> {
    await new Promise<void>((resolve) => this.#server.listen(port, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${(this.#server.address() as AddressInfo).port}`
    return this.address
  }

  async close (): Promise<void> {
    for (const socket of this.#sockets) socket.destroy()
    await new Promise<void>((resolve) => this.#server.close(() => resolve()))
  }

  #parseRequests (socket: Socket, answer: (req: RawRequest) => void): void {
    let bytes: Buffer = Buffer.alloc(0)
    let nth = 0
    socket.on('data', (chunk: Buffer) => {
      bytes = Buffer.concat([bytes, chunk])
      for (let end = bytes.indexOf(HEAD_END); end >= 0; end = bytes.indexOf(HEAD_END)) {
        const head = bytes.subarray(0, end).toString('latin1')
        const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0)
        const bodyAt = end + HEAD_END.length
        if (bytes.length < bodyAt + length) return
        const req = { head, body: bytes.subarray(bodyAt, bodyAt + length), socket, nth: ++nth }
        bytes = bytes.subarray(bodyAt + length)
        this.requests.push(req)
        answer(req)
      }
    })
  }
}
