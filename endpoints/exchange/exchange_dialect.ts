/** The part of an HTTP exchange that depends on the header names of a platform. */
import type { IncomingMessage } from 'node:http'
import type { AnswerHead, Header } from '../../core/answer/index.ts'
import type { EndpointView, Lane } from '../../core/routing/index.ts'
import type { EndpointSignals } from '../attempt.ts'
import type { AdmittedRequest, ProxiedRequest } from './proxied_request.ts'

/** Values that one attempt adds to the caller's request. */
export interface AttemptContext {
  view: EndpointView
  /** Milliseconds within which the endpoint must answer. */
  deadlineInMs: number
  /** Number of events that the caller already has; the stream resumes after them. */
  resumeFrom: number
  /** Priority lane of the request at the endpoint; undefined for a plain call. */
  lane: Lane | undefined
  /** KV cache to continue from; undefined for a run that begins with this attempt. */
  kvHandle?: string | undefined
}

/** What the headers of an endpoint's answer say about its attempt and the endpoint. */
export interface AnswerMetadata extends EndpointSignals {
  /** Id of the request that the answer belongs to. */
  requestId: string | undefined
  /** True if the answer is signed by the endpoint and its body has no content encoding. */
  genuine: boolean
  /** True if the endpoint guarantees that it did not run the request. */
  notRun: boolean
  /** True if another endpoint has the address now. */
  otherEndpoint: boolean
}

/** Error for a request that cannot be forwarded as it is. */
export class BadRequestError extends Error {
  override name = 'BadRequestError'
}

/** Reads and writes the platform's headers. */
export interface ExchangeDialect {
  /**
   * Parses a caller's request, except for its body.
   * @throws {BadRequestError} If a header that affects how the request is handled is missing or invalid.
   */
  readRequest (req: IncomingMessage): Omit<ProxiedRequest, 'body'>
  /** Returns the headers of one attempt at an endpoint. */
  attemptHeaders (req: AdmittedRequest, attempt: AttemptContext): Header[]
  /** Parses the head of an endpoint's answer. */
  readAnswer (head: AnswerHead): AnswerMetadata
}
