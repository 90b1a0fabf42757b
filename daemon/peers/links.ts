/** Transport-independent interface of the connections between daemons. */
import type { DaemonId } from '../../core/ids/index.ts'
import type { Gossip } from '../../core/membership/index.ts'

/** Handles a call. `part` streams a partial result before the method returns; `signal` aborts when the link to the caller closes. */
export type PeerMethod = (args: never, context: { from: DaemonId, part: (value: unknown) => void, signal: AbortSignal }) => Promise<unknown>

/** Handles a one-way message. */
export type PostHandler = (value: never, from: DaemonId) => void

/** Options of a call. */
export interface CallOptions {
  /** Time to wait for the reply, in milliseconds. Default 3,000. */
  timeoutMs?: number
  /** Receives the partial results of a streamed reply, with the daemon that answers: another one than was called may have its address now. */
  part?: (value: unknown, from: DaemonId) => void
}

/** Result of a connection attempt; `gone` when nothing listens at the daemon's address or a different daemon does. */
export type ConnectResult = 'linked' | 'gone' | 'unreachable'

/** Event handlers of the links; set by their owner before it calls `listen`. */
export interface LinkEvents {
  onGossip (from: DaemonId, gossip: Gossip): void
  onLink (to: DaemonId): void
}

/** Connections of one daemon to the others. */
export interface Links {
  /** Sets the handlers for gossip and new links. */
  bind (events: LinkEvents): void
  /** Registers the handler of a method. */
  handle (method: string, handler: PeerMethod): void
  /** Starts listening and returns the address that other daemons connect to. */
  listen (host: string, port: number): Promise<string>
  /** Keeps links to exactly these addresses open; other outgoing links are closed once idle. */
  keep (addresses: readonly string[]): void
  /** Periodic maintenance: reconnects kept links that broke, probes silent links and closes idle ones. `now` is in milliseconds of the steady clock. */
  maintain (now: number): void
  /** Sends gossip; does nothing without a link. */
  gossip (to: DaemonId, gossip: Gossip): void
  /** Connects to a daemon unless a link is open already. */
  connect (to: { id: DaemonId, address: string }): Promise<ConnectResult>
  /** Returns true if a link to a daemon is open. */
  isLinked (to: DaemonId): boolean
  /** Sends a one-way message; returns false when there is no link. */
  post (to: DaemonId, topic: string, value: unknown): boolean
  /** Registers the handler for the messages of a topic. */
  onPost (topic: string, handler: PostHandler): void
  /** Terminates the link to a daemon; a kept link is reconnected by the next maintenance run. */
  reset (to: DaemonId): void
  /**
   * Calls a method of another daemon.
   * @throws {PeerError} When the daemon cannot be reached, does not reply in time or reports a failure.
   */
  call (to: { id: DaemonId, address: string }, method: string, args: unknown, options?: CallOptions): Promise<unknown>
  /** Stops listening and closes all links. */
  close (): Promise<void>
}

/** Thrown when a call to another daemon fails. */
export class PeerError extends Error {
  override name = 'PeerError'
  /** True when the call was never sent. */
  readonly notSent: boolean
  /** True when the daemon replied that the call failed. */
  readonly replied: boolean

  constructor (message: string, options: { notSent: boolean, replied?: boolean, cause?: unknown }) {
    super(message, { cause: options.cause })
    this.notSent = options.notSent
    this.replied = options.replied ?? false
  }
}
