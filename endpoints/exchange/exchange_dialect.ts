/** What of an HTTP exchange depends on the header names of a platform. */
import type { IncomingMessage } from 'node:http'
import type { AnswerHead, Header } from '../../core/answer/index.ts'
import type { EndpointView, Lane } from '../../core/routing/index.ts'
import type { AdmittedRequest, ProxiedRequest } from './proxied_request.ts'

/** What one attempt adds to the caller's request. */
export interface AttemptFacts {
  view: EndpointView
  /** Milliseconds that the endpoint may take. */
  deadlineInMs: number
  /** Events that the caller already has; the stream goes on behind them. */
  resumeFrom: number
  /** Where the request stands among others at the endpoint; undefined for a plain call. */
  lane: Lane | undefined
}

/** What an endpoint's answer says of its attempt. */
export interface AnswerFacts {
  /** The request that the answer belongs to. */
  requestId: string | undefined
  /** Signed by the endpoint, and its body not encoded on the way. */
  genuine: boolean
  /** The endpoint promises that it did not run the request. */
  notRun: boolean
  /** Another endpoint has the address now. */
  otherEndpoint: boolean
}

/** A request that cannot be handed on as it is. */
export class BadRequestError extends Error {
  override name = 'BadRequestError'
}

/** Reads and writes the platform's headers. */
export interface ExchangeDialect {
  /**
   * Takes a caller's request apart, all but its body.
   * @throws {BadRequestError} When a header that decides about the request is missing or makes no sense.
   */
  readRequest (req: IncomingMessage): Omit<ProxiedRequest, 'body'>
  /** Headers of one attempt at an endpoint. */
  attemptHeaders (req: AdmittedRequest, attempt: AttemptFacts): Header[]
  readAnswer (head: AnswerHead): AnswerFacts
}
