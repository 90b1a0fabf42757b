/** What the daemons ask of a plain service. */

/** One call. */
export interface ServiceCall {
  requestId: string
  input: string
  timeoutMs: number
}

/** One plain service. Throws {@linkcode AttemptError}; a call is never repeated by the adapter. */
export interface PlainService {
  call (call: ServiceCall): Promise<string>
}
