/** TCP check of whether a process listens at an endpoint's address. */
import { connect } from 'node:net'

/** Result of a connection attempt. */
export type DialResult = 'accepted' | 'refused' | 'unanswered'

/** Options of {@linkcode dial}. */
export interface DialOptions {
  /** Milliseconds until a connection counts as unanswered. Default 1,000. */
  timeoutMs?: number
}

const DEFAULT_TIMEOUT_MS = 1000
/** A connection that is reset was accepted: an endpoint may take no more of them. */
const RESULT_BY_CODE: Record<string, DialResult> = { ECONNREFUSED: 'refused', ECONNRESET: 'accepted' }

/**
 * Opens a TCP connection and closes it immediately.
 * @param address IP address and port, or a URL with both.
 */
export function dial (address: string, options: DialOptions = {}): Promise<DialResult> {
  const { hostname, port } = new URL(address.includes('://') ? address : `tcp://${address}`)
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port) })
    const finish = (result: DialResult) => {
      clearTimeout(timer)
      socket.destroy()
      resolve(result)
    }
    // After a pause of this process the timer runs before the answer that has arrived meanwhile is read.
    const timer = setTimeout(() => setImmediate(() => finish('unanswered')), options.timeoutMs ?? DEFAULT_TIMEOUT_MS)
    socket.once('connect', () => finish('accepted'))
    socket.on('error', ({ code }: NodeJS.ErrnoException) => finish(RESULT_BY_CODE[code ?? ''] ?? 'unanswered'))
  })
}
