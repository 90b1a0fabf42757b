/** Withdraws what was sent on a connection that is closed before it was answered. */
import type { Socket } from 'node:net'

/**
 * Makes a socket reset its connection, instead of ending it, when it is destroyed and nothing was received since bytes were last sent.
 *
 * The system delivers the bytes of a connection that was ended as soon as it can, however long that takes: a request whose caller has left would run. A reset discards them.
 * A peer that has answered since has got the request, and learns more surely of an end, which is repeated until it arrives.
 */
export function resetUnanswered (socket: Socket): void {
  let answeredBytes = 0
  const read = socket.read.bind(socket)
  socket.read = (size) => {
    const bytes: unknown = read(size)
    if (bytes !== null) answeredBytes = socket.bytesWritten
    return bytes
  }
  const destroy = socket.destroy.bind(socket)
  socket.destroy = (err) => {
    // A connection that either side has begun to end cannot be reset.
    const isOpen = !socket.destroyed && !socket.connecting && !socket.readableEnded && !socket.writableEnded
    if (!isOpen || socket.bytesWritten <= answeredBytes) return destroy(err)
    // Calls `destroy` without an error.
    socket.destroy = () => destroy(err)
    return socket.resetAndDestroy()
  }
}
