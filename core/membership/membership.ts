/** Gossip membership as a state machine without I/O: (message, now) to effects. Sockets and timers belong to the daemon's membership task. */
import type { DaemonId, FailureDomain, Region } from '../ids/index.ts'
import type { Hash32 } from '../routing/subset.ts'
import { TimeoutDetector, type FailureDetector } from './detector.ts'
import { isPresumedAlive, supersedes, type Member, type MemberState } from './member.ts'
import { neighbours, updateLinks } from './overlay.ts'

/** Key-value entry that is gossiped to all daemons; the highest version of a key wins. */
export interface Fact {
  /** For example `config` or `leaving/ENDPOINT`. */
  key: string
  version: number
  /** Small value whose shape is defined by the owner of the key. */
  value: unknown
}

/** Message between neighbours. Without members, facts and digest it is a heartbeat. */
export interface Gossip {
  members: Member[]
  facts: Fact[]
  /** Digest of the sender's table, sent periodically; a receiver with another digest replies with its whole table. */
  digest?: number
  /** True if the message contains the sender's whole table and asks for newer entries in return. */
  whole?: boolean
}

/** Action that the membership task has to carry out. */
export type MembershipEffect =
  | { type: 'send', to: DaemonId, gossip: Gossip }
  /** Maintain connections to these successors; predecessors connect to this daemon. */
  | { type: 'links', dial: Member[] }
  | { type: 'member', member: Member }
  | { type: 'fact', fact: Fact, from: DaemonId }

/** Options of {@linkcode Membership}. */
export interface MembershipOptions {
  self: { id: DaemonId, address: string, failureDomain: FailureDomain, cores?: number }
  hash: Hash32
  /** Region of a failure domain; undefined if the settings do not name it. Default: all daemons are in one region. */
  regionOf?: (domain: FailureDomain) => Region | undefined
  /** Start time in milliseconds on the daemon's clock. */
  now: number
  /** Creates the failure detector of a neighbour. Default: a timeout of {@linkcode SUSPECT_AFTER_MS}. */
  detector?: (now: number) => FailureDetector
}

/** Interval between heartbeats to a neighbour, in milliseconds. */
export const HEARTBEAT_MS = 1000
/** Silence after which a neighbour is suspected, in milliseconds. */
export const SUSPECT_AFTER_MS = 4000
/** Time that a suspected daemon has to refute the suspicion, in milliseconds. */
export const GONE_AFTER_MS = 8000
/** How long the record of a departed daemon is kept, in milliseconds, so that late gossip does not resurrect it. */
export const TOMBSTONE_TTL_MS = 600_000
/** How long a fact is kept, in milliseconds. The configuration never expires. */
export const FACT_TTL_MS = 600_000

/** Ticks between two digests; the neighbours receive them in turn. */
const DIGEST_EVERY_TICKS = 10

/** Fraction of the daemons of another region that are suspected if it is cut off: three quarters have a neighbour here, and fleets are small. */
const LOST_REGION_FRACTION = 0.6
/** How long a daemon that was declared gone counts as lost with its region, in milliseconds; later it was lost alone, or was restarted under another id. */
const LOST_TOGETHER_MS = SUSPECT_AFTER_MS + GONE_AFTER_MS
/** How long a daemon whose record changed, such as by refuting a suspicion, is not suspected with its region, in milliseconds. */
const HEARD_FOR_MS = GONE_AFTER_MS

interface MemberEntry { member: Member, sinceMs: number }
interface FactEntry { fact: Fact, sinceMs: number }

/** One daemon's view of all members and of the gossiped facts. */
export class Membership {
  readonly #options: MembershipOptions
  readonly #members = new Map<DaemonId, MemberEntry>()
  #version = 0
  readonly #facts = new Map<string, FactEntry>()
  readonly #detectors = new Map<DaemonId, FailureDetector>()
  #successors: DaemonId[] = []
  #predecessors: DaemonId[] = []
  /** Neighbours in other regions to which this daemon forwards updates. */
  #updateLinks: ReadonlySet<DaemonId> = new Set()
  #ticks = 0
  /** Incremented whenever a member becomes alive or stops being so; only then can the neighbours change. */
  #livenessVersion = 0
  /** State that this daemon declares for itself, regardless of what others gossip. */
  #declaredState: MemberState = 'up'

  constructor (options: MembershipOptions) {
    this.#options = options
    const self: Member = { ...options.self, incarnation: 1, state: 'up', revision: 0, heir: undefined }
    this.#setMember(self, options.now)
  }

  /** This daemon's own record. */
  get self (): Member { return this.#members.get(this.#options.self.id)!.member }
  /** Incremented with each change of any record. */
  get version (): number { return this.#version }
  /** All known daemons, including departed ones. */
  get members (): Member[] { return [...this.#members.values()].map(({ member }) => member) }
  /** The daemons that this one exchanges heartbeats with. */
  get neighbours (): DaemonId[] { return [...this.#successors, ...this.#predecessors] }

  /** Returns the record of a daemon, or undefined if it is not known. */
  member (id: DaemonId): Member | undefined { return this.#members.get(id)?.member }
  /** Returns the fact with a key, or undefined if there is none. */
  fact (key: string): Fact | undefined { return this.#facts.get(key)?.fact }

  /** Updates this daemon's own record and gossips it. */
  setSelf (change: Partial<Pick<Member, 'state' | 'revision' | 'heir'>>, now: number): MembershipEffect[] {
    this.#declaredState = change.state ?? this.#declaredState
    const member: Member = { ...this.self, state: this.#declaredState, ...change, incarnation: this.self.incarnation + 1 }
    this.#setMember(member, now)
    return [{ type: 'member', member }, ...this.#sendToNeighbours({ members: [member], facts: [] })]
  }

  /** Publishes a fact and gossips it. A version that is not newer is ignored. */
  setFact (fact: Fact, now: number): MembershipEffect[] {
    if (!this.#mergeFact(fact, now)) return []
    return this.#sendToNeighbours({ members: [], facts: [fact] })
  }

  /** Sends heartbeats and periodic digests, suspects silent neighbours and expires old entries. To be called every {@linkcode HEARTBEAT_MS}. */
  tick (now: number): MembershipEffect[] {
    this.#ticks++
    const effects = this.#suspectSilentMembers(now)
    this.#expireEntries(now)
    const neighbours = this.neighbours
    const digestTo = this.#ticks % DIGEST_EVERY_TICKS === 0 ? neighbours[(this.#ticks / DIGEST_EVERY_TICKS) % neighbours.length] : undefined
    for (const to of neighbours) {
      const gossip: Gossip = { members: [], facts: [], ...(to === digestTo && { digest: this.digest() }) }
      effects.push({ type: 'send', to, gossip })
    }
    return effects
  }

  /** Returns the whole table; a joining daemon sends it to a known member, which replies with newer entries. */
  snapshot (): Gossip {
    return { members: this.members, facts: [...this.#facts.values()].map(({ fact }) => fact), whole: true }
  }

  /** Merges a message from another daemon. */
  receive (from: DaemonId, gossip: Gossip, now: number): MembershipEffect[] {
    this.#detectors.get(from)?.recordHeartbeat(now)
    const effects: MembershipEffect[] = []
    const livenessBefore = this.#livenessVersion
    const members = gossip.members.filter((member) => this.#mergeMember(member, now))
    const facts = gossip.facts.filter((fact) => this.#mergeFact(fact, now))
    for (const fact of facts) effects.push({ type: 'fact', fact, from })
    for (const member of members) effects.push({ type: 'member', member })
    const refuted = this.#refute(now)
    if (this.#livenessVersion !== livenessBefore) effects.push(...this.#updateNeighbours(now))
    if (members.length + facts.length > 0) effects.push(...this.#sendToNeighbours({ members, facts }, from))
    effects.push(...refuted)
    if (gossip.digest !== undefined && gossip.digest !== this.digest()) effects.push({ type: 'send', to: from, gossip: this.snapshot() })
    if (gossip.whole && this.#hasNewerEntriesThan(gossip)) effects.push({ type: 'send', to: from, gossip: { ...this.snapshot(), whole: false } })
    return effects
  }

  /** Handles a new connection to a neighbour: sends it the whole table, so that it catches up on messages lost while disconnected. */
  handleLinkUp (to: DaemonId): MembershipEffect[] {
    return [{ type: 'send', to, gossip: { ...this.snapshot(), whole: false } }]
  }

  /** Returns a hash of the table; daemons with the same entries have the same hash. */
  digest (): number {
    const members = this.members.map((member) => `${member.id}:${member.incarnation}:${member.state}`).sort()
    const facts = [...this.#facts.values()].map(({ fact }) => `${fact.key}:${fact.version}`).sort()
    return this.#options.hash([...members, ...facts].join('|'))
  }

  #setMember (member: Member, now: number): void {
    this.#members.set(member.id, { member, sinceMs: now })
    this.#version++
  }

  #removeMember (id: DaemonId): void {
    this.#members.delete(id)
    this.#version++
  }

  #mergeMember (member: Member, now: number): boolean {
    const known = this.#members.get(member.id)
    if (!supersedes(member, known?.member)) return false
    if (!known && (member.state === 'left' || member.state === 'gone') && member.heir === undefined) return false
    if (isPresumedAlive(member) !== (known !== undefined && isPresumedAlive(known.member))) this.#livenessVersion++
    this.#setMember(member, now)
    return true
  }

  #mergeFact (fact: Fact, now: number): boolean {
    const known = this.#facts.get(fact.key)
    if (known && known.fact.version >= fact.version) return false
    this.#facts.set(fact.key, { fact, sinceMs: now })
    return true
  }

  /** Refutes a suspicion of this daemon, such as after it was paused, by publishing its record with a higher incarnation. */
  #refute (now: number): MembershipEffect[] {
    if (this.self.state === this.#declaredState) return []
    return this.setSelf({}, now)
  }

  #suspectSilentMembers (now: number): MembershipEffect[] {
    const demoted: Member[] = []
    for (const id of this.neighbours) {
      const known = this.#members.get(id)
      if (known && isPresumedAlive(known.member) && known.member.state !== 'suspect' && this.#detectors.get(id)?.isSuspect(now)) {
        demoted.push({ ...known.member, state: 'suspect' })
      }
    }
    for (const { member, sinceMs } of this.#members.values()) {
      if (member.state === 'suspect' && now - sinceMs > GONE_AFTER_MS) demoted.push({ ...member, state: 'gone' })
    }
    for (const member of demoted) this.#setMember(member, now)
    for (const member of this.#unheardInLostRegions(now)) {
      demoted.push(member)
      this.#setMember(member, now)
    }
    if (demoted.length === 0) return []
    return [...demoted.map((member): MembershipEffect => ({ type: 'member', member })), ...this.#updateNeighbours(now), ...this.#sendToNeighbours({ members: demoted, facts: [] })]
  }

  /**
   * Returns records that suspect the rest of a region which is cut off: most of its daemons are suspected, and this daemon hears none of it. A few of its daemons
   * have no neighbour in this region and would be found only after the others are gone. Those that other daemons still reach refute it.
   */
  #unheardInLostRegions (now: number): Member[] {
    if (!this.#options.regionOf) return []
    const byRegion = new Map<Region | undefined, Member[]>()
    for (const member of this.members) {
      if (member.state === 'left' || !this.#isFar(member.id)) continue
      if (member.state === 'gone' && this.#ageMs(member.id, now) > LOST_TOGETHER_MS) continue
      const region = this.#regionOf(member.id)
      const members = byRegion.get(region)
      if (members) members.push(member)
      else byRegion.set(region, [member])
    }
    return [...byRegion.values()].flatMap((members): Member[] => {
      const lost = members.filter(({ state }) => state === 'suspect' || state === 'gone')
      const hearsOne = members.some(({ id }) => this.#detectors.get(id)?.isSuspect(now) === false)
      if (hearsOne || lost.length < members.length * LOST_REGION_FRACTION) return []
      return members.filter((member) => !lost.includes(member) && this.#ageMs(member.id, now) > HEARD_FOR_MS).map((member) => ({ ...member, state: 'suspect' }))
    })
  }

  #expireEntries (now: number): void {
    for (const [id, { member, sinceMs }] of this.#members) {
      if ((member.state === 'left' || member.state === 'gone') && now - sinceMs > TOMBSTONE_TTL_MS) this.#removeMember(id)
    }
    for (const [key, { sinceMs }] of this.#facts) {
      if (key !== 'config' && now - sinceMs > FACT_TTL_MS) this.#facts.delete(key)
    }
  }

  #updateNeighbours (now: number): MembershipEffect[] {
    const alive = this.members.filter(isPresumedAlive).map((member) => member.id)
    const { hash, regionOf } = this.#options
    const options = { hash, ...(regionOf && { regionOf: (id: DaemonId) => this.#regionOf(id) }) }
    const next = neighbours(this.self.id, alive, options)
    this.#updateLinks = updateLinks(this.self.id, alive, options)
    const unchanged = next.successors.join() === this.#successors.join() && next.predecessors.join() === this.#predecessors.join()
    if (unchanged) return []
    this.#successors = next.successors
    this.#predecessors = next.predecessors
    this.#updateDetectors(now)
    return [{ type: 'links', dial: this.#successors.map((id) => this.member(id)!) }]
  }

  #regionOf (id: DaemonId): Region | undefined {
    const member = this.member(id)
    return member && this.#options.regionOf?.(member.failureDomain)
  }

  /** Time since the record of a daemon last changed, in milliseconds. */
  #ageMs (id: DaemonId, now: number): number {
    return now - this.#members.get(id)!.sinceMs
  }

  #isFar (id: DaemonId): boolean {
    return this.#regionOf(id) !== this.#regionOf(this.self.id)
  }

  #updateDetectors (now: number): void {
    const watched = new Set(this.neighbours)
    for (const id of this.#detectors.keys()) {
      if (!watched.has(id)) this.#detectors.delete(id)
    }
    const make = this.#options.detector ?? ((at) => new TimeoutDetector(SUSPECT_AFTER_MS, at))
    for (const id of watched) {
      if (!this.#detectors.has(id)) this.#detectors.set(id, make(now))
    }
  }

  #hasNewerEntriesThan (gossip: Gossip): boolean {
    const theirs = new Map(gossip.members.map((member) => [member.id, member]))
    const facts = new Map(gossip.facts.map((fact) => [fact.key, fact.version]))
    return this.members.some((member) => supersedes(member, theirs.get(member.id))) ||
      [...this.#facts.values()].some(({ fact }) => fact.version > (facts.get(fact.key) ?? 0))
  }

  /**
   * Sends facts to all neighbours and member records to the successors only. Each new configuration changes every record, and sent to all
   * neighbours each record would cross each link twice. Of the neighbours in other regions, only those on the few update links get any. A record that is lost is repaired by the next digest.
   */
  #sendToNeighbours (gossip: Gossip, except?: DaemonId): MembershipEffect[] {
    const { facts, members } = gossip
    return this.neighbours.filter((id) => id !== except && (this.#updateLinks.has(id) || !this.#isFar(id))).flatMap((to): MembershipEffect[] => {
      const records = this.#successors.includes(to) || this.#updateLinks.has(to) ? members : []
      return facts.length + records.length === 0 ? [] : [{ type: 'send', to, gossip: { members: records, facts } }]
    })
  }
}
