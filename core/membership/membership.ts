/** Membership as a pure state machine: (message, now) to effects. Sockets and timers are in the daemon's task. */
import type { DaemonId, FailureDomain } from '../ids/index.ts'
import type { Hash32 } from '../routing/subset.ts'
import { TimeoutDetector, type Detector } from './detector.ts'
import { mayAnswer, replaces, type Member, type MemberState } from './member.ts'
import { neighbours } from './overlay.ts'

/** A fact that all daemons should know; the higher version of a key holds. */
export interface Fact {
  /** Such as `config` or `leaving/ENDPOINT`. */
  key: string
  version: number
  /** Small, any shape the key's owner gives it. */
  value: unknown
}

/** What neighbours send each other. */
export interface Gossip {
  members: Member[]
  facts: Fact[]
  /** Digest of the sender's table, sent now and then; one that differs is answered with the whole table. */
  digest?: number
  /** True when this is the whole table. */
  whole?: boolean
}

/** What the task has to do. */
export type MembershipEffect =
  | { type: 'send', to: DaemonId, gossip: Gossip }
  /** Keep links to these successors; predecessors dial. */
  | { type: 'links', dial: Member[] }
  | { type: 'member', member: Member }
  | { type: 'fact', fact: Fact, from: DaemonId }

/** Options of {@linkcode Membership}. */
export interface MembershipOptions {
  self: { id: DaemonId, address: string, failureDomain: FailureDomain, cores?: number }
  hash: Hash32
  /** Milliseconds on the daemon's clock at the start. */
  now: number
  /** Makes a detector for a neighbour. Default: a timeout of {@linkcode SUSPECT_AFTER_MS}. */
  detector?: (now: number) => Detector
}

/** Between two heartbeats to a neighbour. */
export const HEARTBEAT_MS = 1000
/** Silence after which a neighbour is suspected. */
export const SUSPECT_AFTER_MS = 4000
/** Time for a suspected daemon to refute. */
export const GONE_AFTER_MS = 8000
/** How long a daemon that left or is gone is remembered, so that a late rumour does not bring it back. */
export const FORGET_AFTER_MS = 600_000
/** How long a fact that is no configuration revision is kept. */
export const FACT_KEPT_MS = 600_000

const DIGEST_EVERY = 10

interface Known { member: Member, sinceMs: number }
interface KnownFact { fact: Fact, sinceMs: number }

/** One daemon's view of all daemons and of the facts they share. */
export class Membership {
  readonly #options: MembershipOptions
  readonly #members = new Map<DaemonId, Known>()
  #version = 0
  readonly #facts = new Map<string, KnownFact>()
  readonly #detectors = new Map<DaemonId, Detector>()
  #successors: DaemonId[] = []
  #predecessors: DaemonId[] = []
  #ticks = 0
  /** Grows whenever a daemon comes or goes: only then can the neighbours change. */
  #alive = 0
  /** What this daemon says of itself, whatever others say. */
  #ownState: MemberState = 'up'

  constructor (options: MembershipOptions) {
    this.#options = options
    const self: Member = { ...options.self, incarnation: 1, state: 'up', revision: 0, heir: undefined }
    this.#put(self, options.now)
  }

  /** This daemon's own record. */
  get self (): Member { return this.#members.get(this.#options.self.id)!.member }
  /** Grows with each change of any record. */
  get version (): number { return this.#version }
  /** Every daemon known, those that left included. */
  get members (): Member[] { return [...this.#members.values()].map(({ member }) => member) }
  /** The daemons this one exchanges heartbeats with. */
  get neighbours (): DaemonId[] { return [...this.#successors, ...this.#predecessors] }

  /** Looks up a daemon. */
  member (id: DaemonId): Member | undefined { return this.#members.get(id)?.member }
  /** Looks up a fact. */
  fact (key: string): Fact | undefined { return this.#facts.get(key)?.fact }

  /** Changes this daemon's own record and tells the neighbours. */
  setSelf (change: Partial<Pick<Member, 'state' | 'revision' | 'heir'>>, now: number): MembershipEffect[] {
    this.#ownState = change.state ?? this.#ownState
    const member: Member = { ...this.self, state: this.#ownState, ...change, incarnation: this.self.incarnation + 1 }
    this.#put(member, now)
    return [{ type: 'member', member }, ...this.#tell({ members: [member], facts: [] })]
  }

  /** Adds a fact of this daemon's own and tells the neighbours. */
  setFact (fact: Fact, now: number): MembershipEffect[] {
    if (!this.#learnFact(fact, now)) return []
    return this.#tell({ members: [], facts: [fact] })
  }

  /** Once every {@linkcode HEARTBEAT_MS}: heartbeats, suspicion, forgetting, and now and then a digest. */
  tick (now: number): MembershipEffect[] {
    this.#ticks++
    const effects = this.#suspectSilent(now)
    this.#forgetOld(now)
    const neighbours = this.neighbours
    const digestTo = this.#ticks % DIGEST_EVERY === 0 ? neighbours[(this.#ticks / DIGEST_EVERY) % neighbours.length] : undefined
    for (const to of neighbours) {
      const gossip: Gossip = { members: [], facts: [], ...(to === digestTo && { digest: this.digest() }) }
      effects.push({ type: 'send', to, gossip })
    }
    return effects
  }

  /** The whole table, for a daemon that joins. */
  table (): Gossip {
    return { members: this.members, facts: [...this.#facts.values()].map(({ fact }) => fact), whole: true }
  }

  /** Takes in what another daemon sent. */
  receive (from: DaemonId, gossip: Gossip, now: number): MembershipEffect[] {
    this.#detectors.get(from)?.heard(now)
    const effects: MembershipEffect[] = []
    const before = this.#alive
    const members = gossip.members.filter((member) => this.#learn(member, now))
    const facts = gossip.facts.filter((fact) => this.#learnFact(fact, now))
    for (const fact of facts) effects.push({ type: 'fact', fact, from })
    for (const member of members) effects.push({ type: 'member', member })
    const refuted = this.#refute(now)
    if (this.#alive !== before) effects.push(...this.#relink(now))
    if (members.length + facts.length > 0) effects.push(...this.#tell({ members, facts }, from))
    effects.push(...refuted)
    if (gossip.digest !== undefined && gossip.digest !== this.digest()) effects.push({ type: 'send', to: from, gossip: this.table() })
    if (gossip.whole && this.#holdsMoreThan(gossip)) effects.push({ type: 'send', to: from, gossip: { ...this.table(), whole: false } })
    return effects
  }

  /** A link to a neighbour came up: it gets the whole table, so that nothing sent while it was down is missed. */
  linked (to: DaemonId): MembershipEffect[] {
    return [{ type: 'send', to, gossip: { ...this.table(), whole: false } }]
  }

  /** Hash of everything known, the same for daemons that know the same. */
  digest (): number {
    const members = this.members.map((member) => `${member.id}:${member.incarnation}:${member.state}`).sort()
    const facts = [...this.#facts.values()].map(({ fact }) => `${fact.key}:${fact.version}`).sort()
    return this.#options.hash([...members, ...facts].join('|'))
  }

  #put (member: Member, now: number): void {
    this.#members.set(member.id, { member, sinceMs: now })
    this.#version++
  }

  #remove (id: DaemonId): void {
    this.#members.delete(id)
    this.#version++
  }

  #learn (member: Member, now: number): boolean {
    const known = this.#members.get(member.id)
    if (!replaces(member, known?.member)) return false
    if (!known && (member.state === 'left' || member.state === 'gone') && member.heir === undefined) return false
    if (mayAnswer(member) !== (known !== undefined && mayAnswer(known.member))) this.#alive++
    this.#put(member, now)
    return true
  }

  #learnFact (fact: Fact, now: number): boolean {
    const known = this.#facts.get(fact.key)
    if (known && known.fact.version >= fact.version) return false
    this.#facts.set(fact.key, { fact, sinceMs: now })
    return true
  }

  /** A paused daemon that wakes finds itself suspected: its own higher incarnation puts that right everywhere. */
  #refute (now: number): MembershipEffect[] {
    if (this.self.state === this.#ownState) return []
    return this.setSelf({}, now)
  }

  #suspectSilent (now: number): MembershipEffect[] {
    const worse: Member[] = []
    for (const id of this.neighbours) {
      const known = this.#members.get(id)
      if (known && mayAnswer(known.member) && known.member.state !== 'suspect' && this.#detectors.get(id)?.suspects(now)) {
        worse.push({ ...known.member, state: 'suspect' })
      }
    }
    for (const { member, sinceMs } of this.#members.values()) {
      if (member.state === 'suspect' && now - sinceMs > GONE_AFTER_MS) worse.push({ ...member, state: 'gone' })
    }
    for (const member of worse) this.#put(member, now)
    if (worse.length === 0) return []
    return [...worse.map((member): MembershipEffect => ({ type: 'member', member })), ...this.#relink(now), ...this.#tell({ members: worse, facts: [] })]
  }

  #forgetOld (now: number): void {
    for (const [id, { member, sinceMs }] of this.#members) {
      if ((member.state === 'left' || member.state === 'gone') && now - sinceMs > FORGET_AFTER_MS) this.#remove(id)
    }
    for (const [key, { sinceMs }] of this.#facts) {
      if (key !== 'config' && now - sinceMs > FACT_KEPT_MS) this.#facts.delete(key)
    }
  }

  #relink (now: number): MembershipEffect[] {
    const alive = this.members.filter(mayAnswer).map((member) => member.id)
    const next = neighbours(this.self.id, alive, { hash: this.#options.hash })
    const unchanged = next.successors.join() === this.#successors.join() && next.predecessors.join() === this.#predecessors.join()
    if (unchanged) return []
    this.#successors = next.successors
    this.#predecessors = next.predecessors
    this.#watchNeighbours(now)
    return [{ type: 'links', dial: this.#successors.map((id) => this.member(id)!) }]
  }

  #watchNeighbours (now: number): void {
    const watched = new Set(this.neighbours)
    for (const id of this.#detectors.keys()) {
      if (!watched.has(id)) this.#detectors.delete(id)
    }
    const make = this.#options.detector ?? ((at) => new TimeoutDetector(SUSPECT_AFTER_MS, at))
    for (const id of watched) {
      if (!this.#detectors.has(id)) this.#detectors.set(id, make(now))
    }
  }

  #holdsMoreThan (gossip: Gossip): boolean {
    const theirs = new Map(gossip.members.map((member) => [member.id, member]))
    const facts = new Map(gossip.facts.map((fact) => [fact.key, fact.version]))
    return this.members.some((member) => replaces(member, theirs.get(member.id))) ||
      [...this.#facts.values()].some(({ fact }) => fact.version > (facts.get(fact.key) ?? 0))
  }

  /**
   * Facts go to all neighbours. Records only go to the successors: each new configuration changes every record, and over all links
   * each would cross each link twice. A record that is missed on the way comes with the next digest.
   */
  #tell (gossip: Gossip, except?: DaemonId): MembershipEffect[] {
    const { facts, members } = gossip
    return this.neighbours.filter((id) => id !== except).flatMap((to): MembershipEffect[] => {
      const share = this.#successors.includes(to) ? members : []
      return facts.length + share.length === 0 ? [] : [{ type: 'send', to, gossip: { members: share, facts } }]
    })
  }
}
