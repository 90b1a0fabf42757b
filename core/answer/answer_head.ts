/** Status and headers of an answer, as received from an endpoint. */

/** Header with its name in the original case. */
export type Header = readonly [name: string, value: string]

/** Status and headers that precede the body of an answer. */
export interface AnswerHead {
  status: number
  headers: readonly Header[]
}

/** Lowest status code that does not indicate success. */
const FIRST_REDIRECT_STATUS = 300
const NO_CONTENT = 204
const NOT_MODIFIED = 304

/**
 * Returns true if the body is a series of events. Their positions hold over all runs of a request, so that another run can continue the answer; the pieces of any
 * other body belong to one run.
 */
export function isEventStream ({ status, headers }: AnswerHead): boolean {
  if (status >= FIRST_REDIRECT_STATUS) return false
  return headers.find(([name]) => name.toLowerCase() === 'content-type')?.[1].startsWith('text/event-stream') ?? false
}

/** What marks the end of an answer's body: its length, the last of its chunks, or nothing but the end of its connection. */
export type Framing = 'length' | 'chunks' | 'connection'

/** Returns true if an answer has no body whatever its headers say. `method` is the method of its request. */
export function hasNoBody (status: number, method: string): boolean {
  return status === NO_CONTENT || status === NOT_MODIFIED || method === 'HEAD'
}

/** Returns what marks the end of the body of an answer that may have one. */
export function framingOf ({ status, headers }: AnswerHead): Framing {
  const has = (header: string) => headers.some(([name]) => name.toLowerCase() === header)
  if (has('transfer-encoding')) return 'chunks'
  return status === NO_CONTENT || has('content-length') ? 'length' : 'connection'
}

/** Complete answer of an endpoint. */
export interface WholeAnswer {
  head: AnswerHead
  body: Uint8Array
}
