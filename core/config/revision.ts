/** Accepted configurations: numbered, described by their change, and never replaced by an older one. */
import type { Config } from './schema.ts'

/** One changed field. */
export interface FieldChange { path: string, from: unknown, to: unknown }

/** Who made a change, when and what. */
export interface Change {
  /** Unique to one attempt, so that an unsure writer can find its own write again. */
  id: string
  operator: string
  /** Milliseconds since the epoch, by the accepting daemon's clock. */
  atMs: number
  fromRevision: number
  toRevision: number
  diff: FieldChange[]
}

/** What the store holds under the configuration's key. */
export interface Accepted {
  revision: number
  config: Config
  /** Newest last. Kept beside the value so that one conditional update accepts the change and its audit record. */
  changes: Change[]
}

/** Changes kept beside the value; older ones are in the audit trail by then. */
export const KEPT_CHANGES = 32

/**
 * Lists the fields that differ between two values, by path.
 * @example `diff({ a: 1 }, { a: 2 })` gives `[{ path: 'a', from: 1, to: 2 }]`.
 */
export function diff (from: unknown, to: unknown, path = ''): FieldChange[] {
  if (Object.is(from, to)) return []
  if (!isObject(from) || !isObject(to)) return [{ path: path || '(top)', from, to }]
  const keys = new Set([...Object.keys(from), ...Object.keys(to)])
  return [...keys].sort().flatMap((key) => diff(from[key], to[key], path ? `${path}.${key}` : key))
}

/** Builds the value that follows `current` when `config` is accepted. */
export function nextAccepted (current: Accepted | undefined, config: Config, options: { id: string, operator: string, atMs: number }): Accepted {
  const fromRevision = current?.revision ?? 0
  const change: Change = {
    ...options,
    fromRevision,
    toRevision: fromRevision + 1,
    diff: diff(byName(current?.config), byName(config))
  }
  return { revision: fromRevision + 1, config, changes: [...(current?.changes ?? []), change].slice(-KEPT_CHANGES) }
}

/**
 * Chooses between the configuration in force and one that arrived.
 *
 * Watch events and peers' copies come late, doubled and out of order; an older revision that replaced a newer one would
 * show as a change that reverts. The revision is set by a conditional update, so it orders all copies without a clock.
 */
export function newest<T extends { readonly revision: number }> (inForce: T | undefined, arrived: T | undefined): T | undefined {
  if (!inForce || !arrived) return inForce ?? arrived
  return arrived.revision > inForce.revision ? arrived : inForce
}

/** Keys lists by name, so that a diff does not depend on their order; of a credential's hash it shows enough to see that it changed. */
function byName (config: Config | undefined): unknown {
  if (!config) return {}
  const entries = Object.entries(config).map(([key, value]) => [key, Array.isArray(value) ? Object.fromEntries(value.map((item) => [item.name, withoutCredential(item)])) : value])
  return Object.fromEntries(entries)
}

function withoutCredential (item: object): object {
  if (!('credentialSha256' in item)) return item
  const { credentialSha256, ...rest } = item as { credentialSha256: string }
  return { ...rest, credential: `sha256 ${credentialSha256.slice(0, FINGERPRINT_LENGTH)}` }
}

const FINGERPRINT_LENGTH = 8

function isObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}
