/** Errors of connections whose next request has no complete head. */
import type { Socket } from 'node:net'

const TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT'
const PARSER_CODES = 'HPE_'
/** Code of the error of a caller that has closed its side in the middle of a request. */
export const CALLER_ENDED_CODE = 'HPE_INVALID_EOF_STATE'
const BAD_REQUEST = 400
/** Status of the answer by the code of the error; the others are {@linkcode BAD_REQUEST}. */
const STATUS_BY_CODE: Record<string, readonly [status: number, text: string]> = {
  [TIMEOUT_CODE]: [408, 'Request Timeout'],
  HPE_HEADER_OVERFLOW: [431, 'Request Header Fields Too Large'],
  HPE_CHUNK_EXTENSIONS_OVERFLOW: [413, 'Payload Too Large']
}

/** Distinguishes callers that are late from those whose bytes this process has not read yet. */
export class HeadTimeouts {
  readonly #expired = new Set<Socket>()

  /** Must be called for each head that was read. */
  headRead (socket: Socket): void {
    this.#expired.delete(socket)
  }

  /**
   * Calls back for an error of a connection. A time limit that has passed counts only if the head is still missing once all that has arrived was read: after a long turn of
   * the event loop timers run before connections are read.
   */
  confirm ({ code }: NodeJS.ErrnoException, socket: Socket, failed: () => void): void {
    if (code !== TIMEOUT_CODE) return failed()
    const { bytesRead } = socket
    this.#expired.add(socket)
    setImmediate(() => {
      // The first bytes of a connection begin its time limit anew.
      if (this.#expired.delete(socket) && !socket.destroyed && (bytesRead > 0 || socket.bytesRead === 0)) failed()
    })
  }
}

/**
 * Answers a connection on which no request can be read, and closes it; only closes it if an earlier request of it awaits its answer. Returns the status; undefined if its
 * caller has left.
 */
export function refuseHead (err: NodeJS.ErrnoException, socket: Socket, { isAwaited }: { isAwaited: boolean }): number | undefined {
  const { code = '' } = err
  const [status, text] = STATUS_BY_CODE[code] ?? [BAD_REQUEST, 'Bad Request']
  const isRefused = (code === TIMEOUT_CODE || code.startsWith(PARSER_CODES)) && socket.writable && !isAwaited
  if (isRefused) socket.write(`HTTP/1.1 ${status} ${text}\r\nConnection: close\r\n\r\n`)
  socket.destroy(err)
  return isRefused && code !== CALLER_ENDED_CODE ? status : undefined
}
