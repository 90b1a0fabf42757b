/** The connections of an HTTP server, and the responses that are not sent on each. */
import type { Server, ServerResponse } from 'node:http'
import { Server as NetServer, type Socket } from 'node:net'

/** Tells idle connections from those on which an answer is still being sent, which the HTTP server takes for idle once the answer has ended. */
export class OpenResponses {
  readonly #bySocket = new Map<Socket, Set<ServerResponse>>()

  /** Must be called for each request. */
  add (res: ServerResponse): void {
    const { socket } = res.req
    const open = this.#bySocket.get(socket) ?? this.#track(socket)
    open.add(res)
    res.once('close', () => open.delete(res))
  }

  /** Apart from {@linkcode OpenResponses.add}, since its callback would keep the first response of the connection, and the body of its request, until that is closed. */
  #track (socket: Socket): Set<ServerResponse> {
    const open = new Set<ServerResponse>()
    this.#bySocket.set(socket, open)
    socket.once('close', () => this.#bySocket.delete(socket))
    return open
  }

  /** Closes the connections whose responses are all sent; those without a first request stay. */
  closeIdle (): void {
    for (const [socket, open] of this.#bySocket) if (open.size === 0) socket.destroy()
  }
}

/** Stops listening and closes no connection. Resolves once all connections are closed. */
export function stopListening (server: Server): Promise<void> {
  // The HTTP server's own method also closes connections whose answer has ended but is not sent yet, and checks header timeouts no more.
  return new Promise((resolve) => { NetServer.prototype.close.call(server, () => resolve()) })
}
