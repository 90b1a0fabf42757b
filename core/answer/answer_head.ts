/** Status and headers of an answer, as an endpoint gave them. */

/** One header, its name as it was written. */
export type Header = readonly [name: string, value: string]

/** What comes before an answer's body. */
export interface AnswerHead {
  status: number
  headers: readonly Header[]
}

/** An endpoint's own answer, whole. */
export interface WholeAnswer {
  head: AnswerHead
  body: Uint8Array
}
