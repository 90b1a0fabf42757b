/** In-memory session under a fake clock, with daemons, stand-ins and callers. */
import FakeTimers, { type Clock } from '@sinonjs/fake-timers'
import { configSchema, type Config } from '../core/config/index.ts'
import { as, type AccountId, type DaemonId, type FailureDomain, type HostId, type PoolName } from '../core/ids/index.ts'
import { Daemon } from '../daemon/daemon.ts'
import type { LiveAnswer } from '../daemon/request/live_answer.ts'
import { settingsSchema } from '../daemon/settings.ts'
import { Ledger, serviceAnswer, StandInCloud, StandInEngine, StandInNetwork, StandInService, StandInStore, fullAnswer } from '../standins/index.ts'

/** Request kinds; each is also the name of a work class. */
export const KINDS = ['review', 'letter', 'check', 'confirm'] as const
export type Kind = typeof KINDS[number]

/** A request of a caller, and its outcome. */
export interface Caller {
  kind: Kind
  key: string
  input: string
  maxTokens: number
  /** Whether the request repeats an earlier one with the same idempotency key. */
  repeats: boolean
  tokens: string[]
  outcome: 'answered' | 'not-run' | 'unknown' | 'refused' | undefined
  reason: string
}

const ACCOUNT = as<AccountId>('account')
const SHA = '0'.repeat(64)
const DOMAINS = ['a', 'b', 'c'] as const
const SPEED = { batchSlots: 8, prefillTokensPerS: 4000, betweenTokensMs: 40, betweenTokensPerStreamMs: 1, exportTokensPerS: 2000, importTokensPerS: 2000 }
const realSetImmediate = globalThis.setImmediate
const RECONNECT_DELAY_MS = 200

/** Returns the configuration used by all sessions. */
export function sessionConfig (): Config {
  const cls = (name: string, pool: string, idempotent: boolean, deadlineMs: number) => ({ name, pool, idempotent, latency: { firstTokenMs: 1800, ...(pool === 'models' && { betweenTokensMs: 60 }), deadlineMs }, delivery: 0.99 })
  return configSchema.parse({
    deployment: 'session',
    wantsLeast: 'recomputed-work',
    classes: [cls('review', 'models', true, 60_000), cls('letter', 'models', false, 30_000), cls('check', 'service', true, 4000), cls('confirm', 'service', false, 4000)],
    pools: [{ name: 'models', kind: 'model', checksFencing: true }, { name: 'service', kind: 'service', checksFencing: false }],
    accounts: [{ name: 'account', credentialSha256: SHA, classes: [...KINDS] }],
    operators: [{ name: 'op', credentialSha256: SHA }]
  })
}

/** A running session. Replaces the timers of the runtime until {@linkcode Session.stop} is called. */
export class Session {
  readonly ledger = new Ledger()
  readonly store = new StandInStore()
  readonly network = new StandInNetwork()
  readonly cloud: StandInCloud
  readonly callers: Caller[] = []
  /** Time at which each host began to leave, and whether a notice announced it. */
  readonly leavingSince = new Map<HostId, { atMs: number, noticed: boolean }>()
  daemons: Daemon[] = []
  readonly #seed: number
  readonly #clock: Clock
  readonly #stoppedDaemons = new Set<DaemonId>()
  #runs = 0

  private constructor (seed: number) {
    this.#seed = seed
    this.#clock = FakeTimers.install({ now: 1_000_000, toFake: ['setTimeout', 'clearTimeout', 'setInterval', 'clearInterval', 'Date', 'performance'] })
    this.cloud = new StandInCloud({ ledger: this.ledger, classes: [{ name: 'quad', reclaimablePrice: 4, onDemandPrice: 11, speed: SPEED }], serviceLatencyMs: new Map([['service', 30]]) })
  }

  /** Whether daemons start and stop hosts themselves. */
  #manageFleet = false

  /** Starts a session with three daemons, six model hosts and three service hosts. */
  static async start (seed: number, options: { manageFleet?: boolean } = {}): Promise<Session> {
    const session = new Session(seed)
    session.#manageFleet = options.manageFleet ?? false
    for (const domain of DOMAINS) {
      await session.startHost('models', domain)
      await session.startHost('models', domain)
      await session.startHost('service', domain)
    }
    for (const domain of DOMAINS) await session.startDaemon(domain)
    session.daemons[0]!.config.apply(sessionConfig(), { operator: 'op' })
    await session.advance(3000)
    if (!session.daemons.every((daemon) => daemon.ready)) throw new Error('Cannot start session: daemons are not ready')
    return session
  }

  /** Restores the clock of the runtime. */
  stop (): void {
    this.#clock.uninstall()
  }

  /** Advances the clock one timer at a time, running all microtasks caused by a timer before the next one fires. */
  async advance (ms: number): Promise<void> {
    const endsAtMs = Date.now() + ms
    await drainMicrotasks()
    for (;;) {
      const nextInMs = this.#clock.countTimers() === 0 ? Infinity : nextTimerInMs(this.#clock)
      if (Date.now() + nextInMs > endsAtMs) break
      this.#clock.next()
      await drainMicrotasks()
    }
    this.#clock.setSystemTime(endsAtMs)
  }

  async startHost (pool: string, domain: string): Promise<HostId> {
    return await this.cloud.start({ hostClass: 'quad', failureDomain: as<FailureDomain>(domain), pool: as<PoolName>(pool), reclaimable: true })
  }

  async startDaemon (domain: string): Promise<void> {
    const run = `r${this.#runs++}`
    const settings = settingsSchema.parse({
      name: domain,
      failureDomain: domain,
      address: '127.0.0.1',
      ports: { callers: 0, operators: 0, peers: 0 },
      platform: { objectApi: 'http://127.0.0.1:1', cloudApi: 'http://127.0.0.1:1' },
      peerSecret: 'session-secret',
      manageFleet: this.#manageFleet,
      drainMs: 8000
    })
    this.daemons.push(await Daemon.start({
      settings,
      run,
      seed: this.#seed + this.#runs,
      store: this.store,
      cloud: this.cloud,
      links: this.network.join(as(`${domain}-${run}`)),
      engine: (view) => this.cloud.at(view.address) as StandInEngine,
      service: (view) => this.cloud.at(view.address) as StandInService,
      dial: async (address) => (this.cloud.live().some(({ endpoint }) => endpoint.address === address) ? 'accepted' : 'refused'),
      http: false
    }))
  }

  /** Reclaims hosts with notice, and starts replacements one second later to restore capacity. */
  reclaim (hosts: readonly HostId[], noticeMs: number): void {
    for (const host of hosts) if (!this.leavingSince.has(host)) this.leavingSince.set(host, { atMs: Date.now(), noticed: !this.cloud.faults.silentNotices })
    const lost = this.cloud.live().filter((host) => hosts.includes(host.hostId))
    this.cloud.reclaim(hosts, noticeMs)
    setTimeout(() => lost.forEach((host, i) => { this.startHost(host.endpoint.pool, DOMAINS[i % 3]!) }), 1000)
  }

  /** Submits a request to a daemon and reads its answer until the final result. */
  submit (daemon: Daemon, request: { kind: Kind, key: string, input: string, maxTokens: number, repeats?: boolean }): Caller {
    const caller: Caller = { repeats: false, ...request, tokens: [], outcome: undefined, reason: '' }
    this.callers.push(caller)
    if (request.kind === 'letter' || request.kind === 'confirm') this.ledger.expectOnce(request.input)
    try {
      const task = daemon.broker.submit({ account: ACCOUNT, className: request.kind, input: request.input, maxTokens: request.maxTokens, idempotencyKey: request.key })
      this.#readAnswer(caller, daemon, task)
    } catch (err) {
      caller.outcome = 'refused'
      caller.reason = (err as Error).message
    }
    return caller
  }

  /** Simulates a crash of a daemon; connections of its callers are closed. */
  async kill (daemon: Daemon): Promise<void> {
    this.#stoppedDaemons.add(daemon.id)
    this.daemons = this.daemons.filter((other) => other !== daemon)
    await daemon.kill()
  }

  /** Drains a daemon: it gets no new requests from the load balancer, but its callers stay connected. */
  drain (daemon: Daemon): void {
    this.daemons = this.daemons.filter((other) => other !== daemon)
    daemon.drain().then(() => this.#stoppedDaemons.add(daemon.id))
  }

  /** Returns violated guarantees, determined only from what callers and stand-ins observed. */
  violations (): string[] {
    const found = this.callers.flatMap((caller) => this.#violationsOf(caller))
    const { doubled } = this.ledger.totals()
    if (doubled > 0) found.push(`${doubled} non-idempotent requests ran twice`)
    for (const [host, since] of this.leavingSince) {
      const late = this.#lateAttempts(host, since)
      if (late > 0) found.push(`${late} attempts at ${host} more than 2 s after the first signal that it leaves`)
    }
    return found
  }

  /**
   * Counts attempts at a leaving host more than 2 s after the first signal. Without a notice the first refusal is the signal. One late
   * refusal is tolerated per stopped daemon, as knowledge of the refusal may have been lost with it.
   */
  #lateAttempts (host: HostId, since: { atMs: number, noticed: boolean }): number {
    const endpoint = this.cloud.endpoint(host)
    if (!(endpoint instanceof StandInEngine)) return 0
    const refusals = endpoint.refusedAtMs
    if (since.noticed) return refusals.filter((atMs) => atMs > since.atMs + 2000).length
    const late = refusals.filter((atMs) => atMs > refusals[0]! + 2000).length
    return Math.max(0, late - this.#stoppedDaemons.size)
  }

  #violationsOf (caller: Caller): string[] {
    const name = `${caller.kind} ${caller.key}`
    if (caller.outcome === undefined) return [`${name} got no final result`]
    if (caller.outcome === 'answered' && !isCorrectAnswer(caller)) return [`${name} got ${caller.tokens.length} of ${caller.maxTokens} tokens: incomplete or from another request`]
    const ran = this.ledger.executionCount(caller.input) > 0
    if (reportedNotRun(caller) && ran && !this.#wasResubmitted(caller)) return [`${name} was reported as not-run but ran`]
    return []
  }

  /** Returns whether the same work was submitted again and may have run then: a caller told `not-run` may retry with the same key. */
  #wasResubmitted (caller: Caller): boolean {
    return this.callers.some((other) => other !== caller && other.input === caller.input && !reportedNotRun(other))
  }

  /** Reads an answer like a client connection: from an offset, at one daemon, until the answer ends or the connection is lost. */
  #readAnswer (caller: Caller, daemon: Daemon, answer: LiveAnswer): void {
    let ended = false
    const poll = () => {
      if (ended) return
      if (this.#stoppedDaemons.has(daemon.id) && !answer.final) return disconnect()
      caller.tokens.push(...answer.tokens.slice(caller.tokens.length))
      if (answer.final) return finish()
      if (answer.movedAway) disconnect()
    }
    const finish = () => {
      ended = true
      stop()
      clearInterval(pollTimer)
      const repeats = answer.final!.repeats
      if (repeats !== undefined) return this.#reconnect(caller, repeats)
      caller.outcome = answer.final!.outcome
      caller.reason = answer.final!.reason
    }
    const disconnect = () => {
      ended = true
      stop()
      clearInterval(pollTimer)
      setTimeout(() => this.#reconnect(caller, answer.id), RECONNECT_DELAY_MS)
    }
    const stop = answer.subscribe(poll)
    // Polling detects a daemon that has stopped.
    const pollTimer = setInterval(poll, RECONNECT_DELAY_MS)
    poll()
  }

  #reconnect (caller: Caller, id: LiveAnswer['id'], tries = 0): void {
    const daemon = this.daemons[tries % Math.max(1, this.daemons.length)]
    const found = daemon?.broker.find(id, ACCOUNT)
    if (!daemon) setTimeout(() => this.#reconnect(caller, id, tries + 1), 1000)
    else if (found) this.#readAnswer(caller, daemon, found)
    else {
      caller.outcome = 'unknown'
      caller.reason = 'nobody holds the answer'
    }
  }
}

function reportedNotRun ({ outcome }: Caller): boolean {
  return outcome === 'not-run' || outcome === 'refused'
}

function isCorrectAnswer ({ kind, tokens, input, maxTokens }: Caller): boolean {
  const model = kind === 'review' || kind === 'letter'
  return tokens.join('') === (model ? fullAnswer(input, maxTokens).join('') : serviceAnswer(input))
}

/** Returns the time until the next timer fires, in milliseconds. */
function nextTimerInMs (clock: Clock): number {
  const timers = (clock as unknown as { timers?: Map<number, { callAt: number }> | Record<number, { callAt: number }> }).timers ?? {}
  const all = timers instanceof Map ? [...timers.values()] : Object.values(timers)
  return Math.max(0, Math.min(...all.map((timer) => timer.callAt)) - clock.now)
}

function drainMicrotasks (): Promise<void> {
  return new Promise((resolve) => realSetImmediate(resolve))
}
