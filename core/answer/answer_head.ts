/** Status and headers of an answer, as received from an endpoint. */

/** Header with its name in the original case. */
export type Header = readonly [name: string, value: string]

/** Status and headers that precede the body of an answer. */
export interface AnswerHead {
  status: number
  headers: readonly Header[]
}

/** Complete answer of an endpoint. */
export interface WholeAnswer {
  head: AnswerHead
  body: Uint8Array
}
