/** What happens to connections that were idle for too long. */
import type { Socket } from 'node:net'

/**
 * Calls back for an idle timeout that has passed, unless bytes waited to be read: after a long turn of the event loop timers run before connections are read,
 * and a request that is ended unread is lost.
 * @param bytesRead Returns how many bytes were read so far.
 */
export function confirmIdle (bytesRead: () => number, isIdle: () => void): void {
  const before = bytesRead()
  setImmediate(() => { if (bytesRead() === before) isIdle() })
}

/** Closes a connection whose idle timeout has passed and on which no bytes wait. */
export function closeIfIdle (socket: Socket): void {
  confirmIdle(() => socket.bytesRead, () => socket.destroy())
}
