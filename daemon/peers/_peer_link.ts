/** Messages between daemons, and the state of the connections that carry them. */
import type { WebSocket } from 'ws'
import type { DaemonId } from '../../core/ids/index.ts'
import type { Gossip } from '../../core/membership/index.ts'
import type { CallOptions } from './links.ts'

/** Messages between daemons. Unknown kinds are counted and ignored, so that newer versions may add some. */
export type PeerMessage =
  /** `takesBatches`: the sender accepts frames with a list of messages. Versions that do not announce it reject such frames as malformed. */
  | { kind: 'hello', id: DaemonId, secret: string, takesBatches?: true }
  | { kind: 'gossip', gossip: Gossip }
  | { kind: 'call', call: number, method: string, args: unknown }
  | { kind: 'part', call: number, value: unknown }
  | { kind: 'reply', call: number, value: unknown }
  | { kind: 'fail', call: number, error: string }
  | { kind: 'post', topic: string, value: unknown }

/** A connection to another daemon, and what is known of it. */
export interface Link {
  socket: WebSocket
  peer: DaemonId | undefined
  address: string | undefined
  lastUsedAtMs: number
  lastReceivedAtMs: number
  /** Consecutive ticks without received data. */
  silentTicks: number
  abort: AbortController
  takesBatches: boolean
  /** Messages queued in this turn of the event loop. */
  sendQueue: PeerMessage[]
  /** Calls of the peer that are being answered. */
  answering: number
  /** When another link to the peer took its place. */
  replacedAtMs: number | undefined
}

/** A call whose reply has not arrived. */
export interface PendingCall { resolve (value: unknown): void, reject (err: Error): void, part: CallOptions['part'], link: Link }
