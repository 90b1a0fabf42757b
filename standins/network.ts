/** In-memory stand-in for the connections between daemons, with network partitions. */
import { setMaxListeners } from 'node:events'
import type { DaemonId } from '../core/ids/index.ts'
import type { Gossip } from '../core/membership/index.ts'
import { PeerError, type CallOptions, type ConnectResult, type LinkEvents, type Links, type PeerMethod, type PostHandler } from '../daemon/peers/links.ts'

const CALL_TIMEOUT_MS = 3000
/** Time without traffic after which calls over a partitioned link fail. */
const LINK_TIMEOUT_MS = 5000

/** Network that connects the daemons of one session. */
export class StandInNetwork {
  /** Latency of a message between two daemons, in milliseconds. */
  readonly latencyMs: (from: DaemonId, to: DaemonId) => number
  /** Called with each message that is sent. */
  onMessage: (from: DaemonId, to: DaemonId) => void = () => {}
  readonly #nodes = new Map<string, StandInLinks>()
  readonly #partitions = new Set<string>()
  readonly #silent = new Set<DaemonId>()
  readonly #calls = new Map<string, Set<() => void>>()

  constructor ({ latencyMs = 1 }: { latencyMs?: number | ((from: DaemonId, to: DaemonId) => number) } = {}) {
    this.latencyMs = typeof latencyMs === 'number' ? () => latencyMs : latencyMs
  }

  /** Creates the links of one daemon. */
  join (id: DaemonId): StandInLinks {
    return new StandInLinks(id, this)
  }

  /** Partitions two daemons from each other, or reconnects them. */
  part (a: DaemonId, b: DaemonId, cut: boolean): void {
    const key = pairKey(a, b)
    if (!cut) {
      this.#partitions.delete(key)
      return
    }
    this.#partitions.add(key)
    const calls = [...this.#calls.get(key) ?? []]
    setTimeout(() => calls.forEach((fail) => fail()), LINK_TIMEOUT_MS)
  }

  /** Drops all messages to and from a daemon while its links stay open, as when its host is suspended: calls end with their timeouts. */
  silence (id: DaemonId, silent: boolean): void {
    if (silent) this.#silent.add(id)
    else this.#silent.delete(id)
  }

  /** Returns whether messages between two daemons arrive. */
  carries (a: DaemonId, b: DaemonId): boolean {
    return !this.#silent.has(a) && !this.#silent.has(b)
  }

  /** Tracks a call between two daemons so that it fails when they are partitioned; returns a function that stops tracking. */
  trackCall (a: DaemonId, b: DaemonId, lose: () => void): () => void {
    const key = pairKey(a, b)
    const calls = this.#calls.get(key) ?? new Set()
    this.#calls.set(key, calls.add(lose))
    return () => { calls.delete(lose) }
  }

  /** Removes all partitions. */
  healPartitions (): void {
    this.#partitions.clear()
  }

  register (address: string, node: StandInLinks): void { this.#nodes.set(address, node) }
  remove (address: string): void { this.#nodes.delete(address) }

  /** Returns the node at an address if it is reachable from the given daemon. */
  reach (from: DaemonId, address: string): StandInLinks | undefined {
    const node = this.#nodes.get(address)
    return node && !this.#partitions.has(pairKey(from, node.id)) ? node : undefined
  }
}

/** In-memory links of one daemon. */
export class StandInLinks implements Links {
  readonly id: DaemonId
  readonly #network: StandInNetwork
  readonly #methods = new Map<string, PeerMethod>()
  readonly #posts = new Map<string, PostHandler>()
  readonly #addresses = new Map<DaemonId, string>()
  #events: LinkEvents = { onGossip () {}, onLink () {} }
  #address = ''
  #keep: readonly string[] = []
  #linked = new Set<string>()
  #closed = false
  readonly #closeController = new AbortController()

  constructor (id: DaemonId, network: StandInNetwork) {
    this.id = id
    this.#network = network
    setMaxListeners(0, this.#closeController.signal)
  }

  bind (events: LinkEvents): void { this.#events = events }
  handle (method: string, answer: PeerMethod): void { this.#methods.set(method, answer) }

  async listen (): Promise<string> {
    this.#address = `node:${this.id}`
    this.#network.register(this.#address, this)
    return this.#address
  }

  keep (addresses: readonly string[]): void {
    this.#keep = addresses
    for (const address of this.#linked) if (!addresses.includes(address)) this.#linked.delete(address)
    this.maintain()
  }

  /** Drops links whose peer is absent or partitioned off, and establishes the missing ones. */
  maintain (): void {
    for (const address of this.#keep) {
      const peer = this.#network.reach(this.id, address)
      if (!peer) this.#linked.delete(address)
      else if (!this.#linked.has(address)) this.#link(address, peer)
    }
  }

  gossip (to: DaemonId, gossip: Gossip): void {
    const address = this.#addresses.get(to)
    if (address === undefined) return
    const copy = structuredClone(gossip)
    this.#afterLatency(this.id, to, () => {
      const peer = this.#network.reach(this.id, address)
      if (peer && !this.#closed && this.#network.carries(this.id, peer.id)) peer.#receiveGossip(this, copy)
    })
  }

  async connect (to: { id: DaemonId, address: string }): Promise<ConnectResult> {
    const peer = this.#network.reach(this.id, to.address)
    if (!peer || this.#closed) return 'unreachable'
    if (!this.#linked.has(to.address)) this.#link(to.address, peer)
    return 'linked'
  }

  isLinked (to: DaemonId): boolean {
    const address = this.#addresses.get(to)
    return address !== undefined && this.#network.reach(this.id, address) !== undefined
  }

  post (to: DaemonId, topic: string, value: unknown): boolean {
    const address = this.#addresses.get(to)
    if (address === undefined || !this.#network.reach(this.id, address)) return false
    const copy = structuredClone(value)
    this.#afterLatency(this.id, to, () => {
      const peer = this.#network.reach(this.id, address)
      if (peer && !this.#closed && !peer.#closed && this.#network.carries(this.id, peer.id)) peer.#posts.get(topic)?.(copy as never, this.id)
    })
    return true
  }

  onPost (topic: string, take: PostHandler): void { this.#posts.set(topic, take) }

  reset (to: DaemonId): void {
    const address = this.#addresses.get(to)
    if (address !== undefined) this.#linked.delete(address)
  }

  async call (to: { id: DaemonId, address: string }, method: string, args: unknown, options: CallOptions = {}): Promise<unknown> {
    const peer = this.#network.reach(this.id, to.address)
    if (!peer || this.#closed) throw new PeerError(`Cannot connect to ${to.address}`, { notSent: true })
    return await new Promise((resolve, reject) => {
      const timer = setTimeout(() => { done(); reject(new PeerError('Cannot ask daemon: no answer', { notSent: false })) }, options.timeoutMs ?? CALL_TIMEOUT_MS)
      const lost = () => { done(); reject(new PeerError('Cannot ask daemon: connection lost', { notSent: false })) }
      const stop = this.#network.trackCall(this.id, peer.id, lost)
      const done = () => {
        clearTimeout(timer)
        stop()
        peer.#closeController.signal.removeEventListener('abort', lost)
      }
      peer.#closeController.signal.addEventListener('abort', lost, { once: true })
      const connected = () => !this.#closed && this.#network.reach(this.id, to.address) !== undefined && this.#network.carries(this.id, peer.id)
      const part = (value: unknown) => { const copy = structuredClone(value); this.#afterLatency(peer.id, this.id, () => { if (connected()) options.part?.(copy, peer.id) }) }
      const settle = (act: () => void) => this.#afterLatency(peer.id, this.id, () => {
        if (!connected()) return
        done()
        act()
      })
      const copy = structuredClone(args)
      this.#afterLatency(this.id, peer.id, () => {
        const answer = peer.#methods.get(method)
        if (!connected() || !answer) return
        answer(copy as never, { from: this.id, part, signal: this.#closeController.signal })
          .then((value) => settle(() => resolve(structuredClone(value))), (err: Error) => settle(() => reject(new PeerError(err.message, { notSent: false, replied: true }))))
      })
    })
  }

  async close (): Promise<void> {
    this.#closed = true
    this.#network.remove(this.#address)
    this.#closeController.abort()
  }

  #link (address: string, peer: StandInLinks): void {
    this.#linked.add(address)
    this.#addresses.set(peer.id, address)
    peer.#addresses.set(this.id, this.#address)
    this.#afterLatency(this.id, peer.id, () => {
      this.#events.onLink(peer.id)
      peer.#events.onLink(this.id)
    })
  }

  #receiveGossip (from: StandInLinks, gossip: Gossip): void {
    if (this.#closed) return
    this.#addresses.set(from.id, from.#address)
    this.#events.onGossip(from.id, gossip)
  }

  #afterLatency (from: DaemonId, to: DaemonId, act: () => void): void {
    this.#network.onMessage(from, to)
    setTimeout(act, this.#network.latencyMs(from, to))
  }
}

function pairKey (a: DaemonId, b: DaemonId): string {
  return [a, b].sort().join('|')
}
