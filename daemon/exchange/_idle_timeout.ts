/** The end of connections that were idle for too long. */
import type { Socket } from 'node:net'

/**
 * Closes a connection whose idle timeout has passed, unless bytes on it wait to be read: after a long turn of the event loop timers run before connections are
 * read, and a request that is closed unread is lost with its connection.
 */
export function closeIfIdle (socket: Socket): void {
  const { bytesRead } = socket
  setImmediate(() => { if (socket.bytesRead === bytesRead) socket.destroy() })
}
