/** Connections between daemons over WebSocket: gossip to neighbors, calls to any daemon, streamed replies. */
import { setMaxListeners } from 'node:events'
import { Packr } from 'msgpackr'
import { WebSocket, WebSocketServer } from 'ws'
import type { AddressInfo } from 'node:net'
import type { DaemonId } from '../../core/ids/index.ts'
import type { Gossip } from '../../core/membership/index.ts'
import { isDeeperThan, shorten } from '../../core/bounds/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import { decodeGossip } from './_gossip_forms.ts'
import { CALL_FORMS, POST_FORMS } from './_message_forms.ts'
import type { Link, PeerMessage, PendingCall } from './_peer_link.ts'
import { PeerError, type CallOptions, type ConnectResult, type LinkEvents, type Links, type PeerMethod, type PostHandler } from './links.ts'
import { log } from '../log/index.ts'
import type { Metrics } from '../metrics.ts'
import { guarded } from '../tasks/index.ts'

/** Options of {@linkcode PeerLinks}. */
export interface PeerLinksOptions {
  self: DaemonId
  secret: string
  metrics: Metrics
  /** Whether a daemon is in another region. Default: none is. */
  isFar? (peer: DaemonId): boolean
}

const CONNECT_TIMEOUT_MS = 1500
const IDLE_TIMEOUT_MS = 60_000
/** Time for which a replaced link stays open without calls, in milliseconds: the peer may have sent one before it knew of the other link. */
const REPLACED_IDLE_MS = 1000
const CALL_TIMEOUT_MS = 3000
/** Silence after which a link with a pending call is terminated, in milliseconds. */
const CALL_SILENCE_TIMEOUT_MS = 5000
/**
 * Consecutive silent ticks after which a link is terminated; pings start at the second silent tick. Counted in ticks rather than time: a daemon that was
 * paused itself has not yet read what arrived meanwhile.
 */
const MAX_SILENT_TICKS = 3

/** Manages the sockets to and from other daemons. */
export class PeerLinks implements Links {
  readonly #options: PeerLinksOptions
  readonly #packr = new Packr({ useRecords: true })
  readonly #links = new Map<DaemonId, Link>()
  /** Replaced links, which stay open until the calls on them have ended. */
  readonly #replaced = new Set<Link>()
  /** The daemon that answered at each dialed address. */
  readonly #peerByAddress = new Map<string, DaemonId>()
  readonly #dialing = new Map<string, Promise<Link>>()
  readonly #pendingCalls = new Map<number, PendingCall>()
  readonly #methods = new Map<string, PeerMethod>()
  readonly #postHandlers = new Map<string, PostHandler>()
  #server: WebSocketServer | undefined
  #keptAddresses = new Set<string>()
  #lastCallId = 0
  #closed = false
  #events: LinkEvents = { onGossip () {}, onLink () {} }

  constructor (options: PeerLinksOptions) {
    this.#options = options
  }

  bind (events: LinkEvents): void {
    this.#events = events
  }

  handle (method: string, handler: PeerMethod): void {
    this.#methods.set(method, handler)
  }

  async listen (host: string, port: number): Promise<string> {
    const server = new WebSocketServer({ host, port, perMessageDeflate: false })
    this.#server = server
    server.on('connection', (socket) => this.#attach(socket, undefined))
    await new Promise<void>((resolve, reject) => server.once('listening', resolve).once('error', reject))
    return `${host}:${(server.address() as AddressInfo).port}`
  }

  keep (addresses: readonly string[]): void {
    this.#keptAddresses = new Set(addresses)
    for (const address of addresses) this.#dial(address).catch(() => {})
  }

  maintain (now: number): void {
    for (const address of this.#keptAddresses) this.#dial(address).catch(() => {})
    for (const link of this.#links.values()) {
      this.#checkSilence(link, now)
      const kept = link.address === undefined || this.#keptAddresses.has(link.address)
      if (!kept && now - link.lastUsedAtMs > IDLE_TIMEOUT_MS) link.socket.close()
    }
    for (const link of this.#replaced) {
      this.#checkSilence(link, now)
      if (link.answering === 0 && !this.#hasPendingCall(link) && now - link.replacedAtMs! > REPLACED_IDLE_MS) link.socket.close()
    }
  }

  /**
   * Detects half-open links.
   *
   * A network partition closes no connection. A call over a dead link would wait for its whole timeout, which is minutes for a streamed answer, and gossip
   * would be lost. Pings on silent links expose a dead one within seconds; it is terminated and dialed again.
   */
  #checkSilence (link: Link, now: number): void {
    const hasPendingCall = this.#hasPendingCall(link)
    link.silentTicks++
    if (link.silentTicks > MAX_SILENT_TICKS || (hasPendingCall && now - link.lastReceivedAtMs > CALL_SILENCE_TIMEOUT_MS)) link.socket.terminate()
    else if (hasPendingCall || link.silentTicks > 1) link.socket.ping()
  }

  #hasPendingCall (link: Link): boolean {
    return [...this.#pendingCalls.values()].some((pending) => pending.link === link)
  }

  #recordActivity (link: Link): void {
    link.lastReceivedAtMs = steadyNow()
    link.silentTicks = 0
  }

  gossip (to: DaemonId, gossip: Gossip): void {
    const link = this.#links.get(to)
    if (link) this.#send(link, { kind: 'gossip', gossip })
  }

  async connect (to: { id: DaemonId, address: string }): Promise<ConnectResult> {
    if (this.#links.has(to.id)) return 'linked'
    try {
      const link = await this.#dial(to.address)
      return link.peer === to.id ? 'linked' : 'gone'
    } catch (err) {
      const { message, cause } = err as Error
      log('peer-not-linked', { peer: to.id, why: message })
      return (cause as NodeJS.ErrnoException | undefined)?.code === 'ECONNREFUSED' ? 'gone' : 'unreachable'
    }
  }

  isLinked (to: DaemonId): boolean {
    return this.#links.has(to)
  }

  post (to: DaemonId, topic: string, value: unknown): boolean {
    const link = this.#links.get(to)
    if (!link) return false
    link.lastUsedAtMs = steadyNow()
    this.#send(link, { kind: 'post', topic, value })
    return true
  }

  onPost (topic: string, handler: PostHandler): void {
    this.#postHandlers.set(topic, handler)
  }

  reset (to: DaemonId): void {
    for (const link of [...this.#links.values(), ...this.#replaced]) if (link.peer === to) link.socket.terminate()
  }

  async call (to: { id: DaemonId, address: string }, method: string, args: unknown, options: CallOptions = {}): Promise<unknown> {
    const link = this.#links.get(to.id) ?? await this.#dial(to.address)
    link.lastUsedAtMs = steadyNow()
    // Silence is measured from the start of the call: an unused link is legitimately silent.
    link.lastReceivedAtMs = steadyNow()
    const call = ++this.#lastCallId
    return await new Promise((resolve, reject) => {
      const timer = setTimeout(() => this.#settleCall(call, (pending) => pending.reject(new PeerError(`Cannot call ${to.id}: no reply`, { notSent: false }))), options.timeoutMs ?? CALL_TIMEOUT_MS)
      const done = () => clearTimeout(timer)
      this.#pendingCalls.set(call, {
        resolve: (value) => { done(); resolve(value) },
        reject: (err) => { done(); reject(err) },
        part: options.part,
        link
      })
      this.#send(link, { kind: 'call', call, method, args })
      // Calls are latency-sensitive and do not wait for the batch.
      this.#flush(link)
    })
  }

  async close (): Promise<void> {
    this.#closed = true
    for (const link of [...this.#links.values(), ...this.#replaced]) link.socket.terminate()
    for (const socket of this.#server?.clients ?? []) socket.terminate()
    await new Promise<void>((resolve) => (this.#server ? this.#server.close(() => resolve()) : resolve()))
  }

  #dial (address: string): Promise<Link> {
    const linked = this.#links.get(this.#peerByAddress.get(address)!)
    if (linked) return Promise.resolve(linked)
    let dialing = this.#dialing.get(address)
    if (!dialing) {
      dialing = this.#connect(address).finally(() => this.#dialing.delete(address))
      this.#dialing.set(address, dialing)
    }
    return dialing
  }

  #connect (address: string): Promise<Link> {
    if (this.#closed) return Promise.reject(new PeerError('Cannot connect: links are closed', { notSent: true }))
    return new Promise((resolve, reject) => {
      const socket = new WebSocket(`ws://${address}`, { handshakeTimeout: CONNECT_TIMEOUT_MS, perMessageDeflate: false })
      const fail = (err: unknown) => reject(new PeerError(`Cannot connect to ${address}`, { notSent: true, cause: err }))
      const timer = setTimeout(() => {
        fail(new Error('timed out waiting for hello'))
        socket.terminate()
      }, CONNECT_TIMEOUT_MS)
      socket.once('error', fail)
      socket.once('close', () => { clearTimeout(timer); fail(new Error('connection closed before hello')) })
      socket.once('open', () => this.#attach(socket, address, (link) => { clearTimeout(timer); resolve(link) }))
    })
  }

  #attach (socket: WebSocket, address: string | undefined, ready?: (link: Link) => void): void {
    const abort = new AbortController()
    setMaxListeners(0, abort.signal)
    const link: Link = { socket, peer: undefined, address, lastUsedAtMs: steadyNow(), lastReceivedAtMs: steadyNow(), silentTicks: 0, abort, takesBatches: false, sendQueue: [], answering: 0, replacedAtMs: undefined }
    socket.on('error', () => socket.terminate())
    socket.on('close', () => this.#onClose(link))
    socket.on('pong', () => this.#recordActivity(link))
    socket.on('message', (data: Buffer) => {
      this.#recordActivity(link)
      this.#countMessage(link, 'in', data.length)
      try {
        const unpacked = this.#packr.unpack(data) as PeerMessage | PeerMessage[]
        // What handlers keep is packed again for others, which recurses.
        if (isDeeperThan(unpacked)) throw new RangeError('message is nested too deeply')
        if (Array.isArray(unpacked)) unpacked.forEach((msg) => this.#dispatch(link, msg))
        else this.#dispatch(link, unpacked, ready)
      } catch (err) {
        this.#rejectMessage(link, err as Error)
      }
    })
    this.#write(link, { kind: 'hello', id: this.#options.self, secret: this.#options.secret, takesBatches: true })
  }

  #dispatch (link: Link, msg: PeerMessage, ready?: (link: Link) => void): void {
    if (typeof msg.kind !== 'string') throw new TypeError('message has no kind')
    if (msg.kind === 'hello') this.#onHello(link, msg, ready)
    else if (link.peer !== undefined) this.#receive(link, link.peer, msg)
  }

  /**
   * Terminates a link that received malformed data, from a foreign program or a faulty peer.
   *
   * An uncaught error would end the process and fail all open requests. Later data on the same link may be just as malformed.
   */
  #rejectMessage (link: Link, err: Error): void {
    log('peer-message-refused', { peer: link.peer ?? 'unidentified', why: err.message })
    link.socket.terminate()
  }

  #onHello (link: Link, msg: Extract<PeerMessage, { kind: 'hello' }>, ready?: (link: Link) => void): void {
    if (msg.secret !== this.#options.secret || msg.id === this.#options.self) {
      link.socket.terminate()
      return
    }
    link.peer = msg.id
    link.takesBatches = msg.takesBatches === true
    if (link.address !== undefined) this.#peerByAddress.set(link.address, msg.id)
    const other = this.#links.get(msg.id)
    if (other && !this.#isPreferred(link)) {
      this.#replace(link)
      ready?.(other)
      return
    }
    this.#links.set(msg.id, link)
    if (other) this.#replace(other)
    ready?.(link)
    this.#events.onLink(msg.id)
  }

  /** Keeps a link open for the calls on it: to terminate it would cut off delegated requests. */
  #replace (link: Link): void {
    link.replacedAtMs = steadyNow()
    this.#replaced.add(link)
  }

  /**
   * Of two links between the same daemons, both ends keep the one dialed by the daemon with the lower id.
   *
   * Otherwise neighbors that dial each other simultaneously would keep different links, find none at the other's address and dial again every
   * second, each time exchanging the full membership table.
   */
  #isPreferred (link: Link): boolean {
    const dialer = link.address === undefined ? link.peer! : this.#options.self
    return dialer < (link.address === undefined ? this.#options.self : link.peer!)
  }

  #onClose (link: Link): void {
    link.abort.abort()
    this.#replaced.delete(link)
    if (link.peer !== undefined && this.#links.get(link.peer) === link) this.#links.delete(link.peer)
    for (const [call, pending] of this.#pendingCalls) {
      if (pending.link === link) this.#settleCall(call, () => pending.reject(new PeerError('Cannot call daemon: connection lost', { notSent: false })))
    }
  }

  #receive (link: Link, from: DaemonId, msg: PeerMessage): void {
    link.lastUsedAtMs = steadyNow()
    switch (msg.kind) {
      case 'gossip': return this.#onGossip(from, msg.gossip)
      case 'call': { this.#answer(link, from, msg); return }
      case 'post': return this.#onPost(from, msg)
      case 'part': return this.#pendingCalls.get(msg.call)?.part?.(msg.value, from)
      case 'reply': return this.#settleCall(msg.call, (pending) => pending.resolve(msg.value))
      case 'fail': return this.#settleCall(msg.call, (pending) => pending.reject(new PeerError(msg.error, { notSent: false, replied: true })))
      default: this.#options.metrics.unknownPeerMessages.inc()
    }
  }

  #onGossip (from: DaemonId, value: unknown): void {
    const { gossip, refused } = decodeGossip(value)
    if (refused > 0) this.#refuse(from, 'gossip', refused)
    this.#events.onGossip(from, gossip)
  }

  #onPost (from: DaemonId, { topic, value }: Extract<PeerMessage, { kind: 'post' }>): void {
    const handler = this.#postHandlers.get(topic)
    if (!handler) return
    if (POST_FORMS.get(topic)?.(value) === false) return this.#refuse(from, topic, 1)
    handler(value as never, from)
  }

  #refuse (peer: DaemonId, kind: string, values: number): void {
    this.#options.metrics.refusedPeerMessages.inc(values)
    log('peer-values-refused', { peer, kind: shorten(kind), values })
  }

  async #answer (link: Link, from: DaemonId, msg: Extract<PeerMessage, { kind: 'call' }>): Promise<void> {
    const { call } = msg
    const method = this.#methods.get(msg.method)
    if (!method) return this.#send(link, { kind: 'fail', call, error: `Cannot call: unknown method ${msg.method}` })
    if (CALL_FORMS.get(msg.method)?.(msg.args) === false) {
      this.#refuse(from, msg.method, 1)
      return this.#send(link, { kind: 'fail', call, error: `Cannot call: the argument of ${msg.method} has another form` })
    }
    link.answering++
    try {
      const part = (value: unknown) => this.#send(link, { kind: 'part', call, value })
      const value = await method(msg.args as never, { from, part, signal: link.abort.signal })
      this.#send(link, { kind: 'reply', call, value })
    } catch (err) {
      this.#send(link, { kind: 'fail', call, error: (err as Error).message })
    } finally {
      link.answering--
    }
  }

  #settleCall (call: number, settle: (pending: PendingCall) => void): void {
    const pending = this.#pendingCalls.get(call)
    if (!pending) return
    this.#pendingCalls.delete(call)
    settle(pending)
  }

  /** Batches the messages of one event loop turn into a single frame: the fixed cost of packing, writing and waking up equals many short messages. */
  #send (link: Link, msg: PeerMessage): void {
    if (link.sendQueue.push(msg) === 1) setImmediate(guarded('peer-links', () => this.#flush(link)))
  }

  #flush (link: Link): void {
    const msgs = link.sendQueue
    link.sendQueue = []
    if (msgs.length > 1 && link.takesBatches) this.#write(link, msgs)
    else for (const msg of msgs) this.#write(link, msg)
  }

  #write (link: Link, msg: PeerMessage | PeerMessage[]): void {
    if (link.socket.readyState !== WebSocket.OPEN) return
    const data = this.#pack(link, msg)
    if (data === undefined) return
    this.#countMessage(link, 'out', data.length)
    link.socket.send(data, (err) => { if (err) log('peer-send-failed', { peer: link.peer ?? 'unidentified', why: err.message }) })
  }

  /** Returns undefined for a message that cannot be packed; its receiver gets none. */
  #pack (link: Link, msg: PeerMessage | PeerMessage[]): Buffer | undefined {
    try {
      return this.#packr.pack(msg)
    } catch (err) {
      log('peer-send-failed', { peer: link.peer ?? 'unidentified', why: shorten((err as Error).message) })
      return undefined
    }
  }

  #countMessage ({ peer }: Link, direction: 'in' | 'out', bytes: number): void {
    const { metrics, isFar } = this.#options
    metrics.peerBytes.inc({ direction }, bytes)
    metrics.peerMessages.inc({ direction })
    if (peer !== undefined && isFar?.(peer) === true) metrics.farPeerBytes.inc({ direction }, bytes)
  }
}
