/** Reading of HTTP/1.1 messages from the bytes of a connection. */

/** Splits a connection's bytes into messages with a head and a body with a length. */
export class MessageReader {
  #buffer = Buffer.alloc(0)

  /** Returns the messages that are complete now: start line, headers by lower-case name, and body. */
  push (bytes) {
    this.#buffer = Buffer.concat([this.#buffer, bytes])
    const messages = []
    for (let next = this.#next(); next; next = this.#next()) messages.push(next)
    return messages
  }

  #next () {
    const head = parseHead(this.#buffer)
    if (!head) return undefined
    const endsAt = head.bodyAt + Number(head.headers['content-length'] ?? 0)
    if (this.#buffer.length < endsAt) return undefined
    const body = this.#buffer.subarray(head.bodyAt, endsAt)
    this.#buffer = this.#buffer.subarray(endsAt)
    return { ...head, body }
  }
}

/** Returns the start line and the headers at the beginning of some bytes, and where the body begins; undefined if the head is not complete. */
export function parseHead (bytes) {
  const headEnd = bytes.indexOf('\r\n\r\n')
  if (headEnd < 0) return undefined
  const [startLine, ...lines] = bytes.subarray(0, headEnd).toString('latin1').split('\r\n')
  const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  return { startLine, headers, bodyAt: headEnd + 4 }
}

/** Returns the body in chunks that begins some bytes, and whether its last chunk has come. */
export function unchunk (bytes) {
  const parts = []
  for (let at = 0; ;) {
    const lineEnd = bytes.indexOf('\r\n', at)
    const size = lineEnd < 0 ? NaN : parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16)
    const dataAt = lineEnd + 2
    if (size === 0) return { body: Buffer.concat(parts), whole: true }
    if (Number.isNaN(size) || bytes.length < dataAt + size + 2) return { body: Buffer.concat(parts), whole: false }
    parts.push(bytes.subarray(dataAt, dataAt + size))
    at = dataAt + size + 2
  }
}
