/** Client of the operators' interface of a running daemon. */
import { request } from 'undici'

/** Address and credential for calls to a daemon. */
export interface OperatorTarget {
  /** Address of the operators' interface, such as `http://10.0.0.1:8081`. */
  daemon: string
  credential: string | undefined
}

/** Error of a call that the daemon refused; `body` is its problem document. */
export class OperatorCallError extends Error {
  override name = 'OperatorCallError'
  readonly status: number
  readonly body: Record<string, unknown>

  constructor (status: number, body: Record<string, unknown>) {
    super(String(body.detail ?? `status ${status}`))
    this.status = status
    this.body = body
  }
}

/**
 * Calls a daemon and returns the body of its response.
 * @throws {OperatorCallError} If the daemon refuses the call.
 */
export async function operatorCall (target: OperatorTarget, method: 'GET' | 'PUT' | 'POST', path: string, options: { body?: unknown, headers?: Record<string, string> } = {}): Promise<unknown> {
  const res = await request(target.daemon + path, {
    method,
    headers: { ...(target.credential !== undefined && { authorization: `Bearer ${target.credential}` }), 'content-type': 'application/json', ...options.headers },
    body: options.body === undefined ? null : JSON.stringify(options.body)
  })
  const body = await res.body.json() as Record<string, unknown>
  if (res.statusCode >= 400) throw new OperatorCallError(res.statusCode, body)
  return body
}
