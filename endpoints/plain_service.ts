/** Interface of a plain service, which answers each call with one string. */

/** One call to a plain service. */
export interface ServiceCall {
  requestId: string
  input: string
  timeoutMs: number
}

/** Client of one plain service. Throws {@linkcode AttemptError}. Implementations never retry a call. */
export interface PlainService {
  call (call: ServiceCall): Promise<string>
}
