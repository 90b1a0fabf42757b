/** Claims idempotency keys through the daemon that currently owns the key's shard. */
import { createHash } from 'node:crypto'
import { as, type AccountId, type DaemonId, type RequestId } from '../../core/ids/index.ts'
import type { Member } from '../../core/membership/index.ts'
import type { Claim, ClaimResult, KeyHash } from '../../core/once/index.ts'
import type { Hash32 } from '../../core/routing/index.ts'
import { steadyNow } from '../../core/time/index.ts'
import type { ObjectStore } from '../../store/index.ts'
import type { MembershipTask } from '../peers/membership_task.ts'
import { ClaimError, ShardLog } from './shard_log.ts'

/** Options of {@linkcode Claims}. */
export interface ClaimsOptions {
  self: DaemonId
  store: ObjectStore
  hash: Hash32
  membership: MembershipTask
}

/** Number of shards of the claim log. The store's write rate depends on this and the commit interval, not on the request rate. */
export const SHARD_COUNT = 8
const HASH_LENGTH = 22

interface ClaimArgs { claim: Claim, inMs: number }

/** Claims idempotency keys for this daemon, and for others that consider it the owner of a shard. */
export class Claims {
  readonly #options: ClaimsOptions
  readonly #shards = new Map<number, ShardLog>()

  constructor (options: ClaimsOptions) {
    this.#options = options
    options.membership.links.handle('claim', ({ claim, inMs }: ClaimArgs) => this.#claimLocal(claim, inMs))
  }

  /**
   * Claims a key for a request.
   * @param inMs Time that the claim may take, in milliseconds.
   * @throws {ClaimError} If the claim could not be written in time. The request has not been run in that case.
   */
  async claim (claim: Claim, inMs: number): Promise<ClaimResult> {
    const expiresAtMs = steadyNow() + inMs
    const owner = this.#ownerOf(shardOf(claim.key, this.#options.hash))
    if (owner && owner.id !== this.#options.self) {
      const result = await this.#claimAtOwner(owner, { claim, inMs })
      if (result) return result
    }
    return await this.#claimLocal(claim, expiresAtMs - steadyNow())
  }

  /**
   * Asks the owner of a shard to claim a key; resolves to undefined if the call fails.
   *
   * A failed call may still have claimed the key. Claiming it again locally is safe: the log then contains the same request id, and writers
   * are fenced by the version of the head, not by ownership of the shard.
   */
  async #claimAtOwner (owner: Member, args: ClaimArgs): Promise<ClaimResult | undefined> {
    const { links } = this.#options.membership
    return await links.call(owner, 'claim', args, { timeoutMs: args.inMs / 2 }).catch(() => undefined) as ClaimResult | undefined
  }

  async #claimLocal (claim: Claim, inMs: number): Promise<ClaimResult> {
    if (inMs <= 0) throw new ClaimError('Cannot claim key: no time left')
    const number = shardOf(claim.key, this.#options.hash)
    let shard = this.#shards.get(number)
    if (!shard) {
      shard = new ShardLog({ store: this.#options.store, shard: number })
      this.#shards.set(number, shard)
    }
    return await shard.claim(claim, steadyNow() + inMs)
  }

  /** Returns the owner of a shard by rendezvous hashing, so that most shards keep their owner when a daemon joins or leaves. */
  #ownerOf (shard: number): Member | undefined {
    let owner: Member | undefined
    let highest = -1
    for (const member of this.#options.membership.acceptingWork) {
      const rank = this.#options.hash(`once/${shard}/${member.id}`)
      if (rank <= highest) continue
      highest = rank
      owner = member
    }
    return owner
  }
}

/** Creates the claim of a request. */
export function claimOf (request: RequestId, options: { account: AccountId, key: string, body: string }): Claim {
  return { key: as<KeyHash>(sha256(`${options.account}/${options.key}`)), body: sha256(options.body), request, atMs: Date.now() }
}

function shardOf (key: KeyHash, hash: Hash32): number {
  return hash(key) % SHARD_COUNT
}

function sha256 (text: string): string {
  return createHash('sha256').update(text).digest('base64url').slice(0, HASH_LENGTH)
}
