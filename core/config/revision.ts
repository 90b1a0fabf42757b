/** Revisions of the accepted configuration and their audit records. */
import type { Config } from './schema.ts'

/** One changed field. */
export interface FieldChange { path: string, from: unknown, to: unknown }

/** Audit record of a change of the configuration. */
export interface Change {
  /** Unique to each attempt, so that a writer that received no response can recognize its own write. */
  id: string
  operator: string
  /** Milliseconds since the epoch, by the accepting daemon's clock. */
  atMs: number
  fromRevision: number
  toRevision: number
  diff: FieldChange[]
}

/** Value stored under the key of the configuration. */
export interface AcceptedConfig {
  revision: number
  config: Config
  /** Latest changes, newest last. Stored with the configuration so that a change and its audit record are written by one conditional update. */
  changes: Change[]
}

/** Number of changes stored with the configuration; older ones are already in the audit trail. */
export const MAX_KEPT_CHANGES = 32

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

/** Returns the stored value that replaces `current` when `config` is accepted. */
export function nextRevision (current: AcceptedConfig | undefined, config: Config, options: { id: string, operator: string, atMs: number }): AcceptedConfig {
  const fromRevision = current?.revision ?? 0
  const change: Change = {
    ...options,
    fromRevision,
    toRevision: fromRevision + 1,
    diff: diff(keyedByName(current?.config), keyedByName(config))
  }
  return { revision: fromRevision + 1, config, changes: [...(current?.changes ?? []), change].slice(-MAX_KEPT_CHANGES) }
}

/**
 * Returns the newer of the configuration in force and a received one.
 *
 * Watch events and copies from peers may arrive late, duplicated and out of order; an older revision that replaced a newer one would appear as a reverted
 * change. Revisions are assigned by conditional updates, so they order all copies without a clock.
 */
export function newerRevision<T extends { readonly revision: number }> (inForce: T | undefined, arrived: T | undefined): T | undefined {
  if (!inForce || !arrived) return inForce ?? arrived
  return arrived.revision > inForce.revision ? arrived : inForce
}

/** Converts lists to objects keyed by name, so that a diff does not depend on their order, and redacts credentials. */
function keyedByName (config: Config | undefined): unknown {
  if (!config) return {}
  const entries = Object.entries(config).map(([key, value]) => [key, Array.isArray(value) ? Object.fromEntries(value.map((item) => [item.name, redactCredential(item)])) : value])
  return Object.fromEntries(entries)
}

/** Replaces the hash of a credential by a prefix that is long enough to show that it changed. */
function redactCredential (item: object): object {
  if (!('credentialSha256' in item)) return item
  const { credentialSha256, ...rest } = item as { credentialSha256: string }
  return { ...rest, credential: `sha256 ${credentialSha256.slice(0, HASH_PREFIX_LENGTH)}` }
}

const HASH_PREFIX_LENGTH = 8

function isObject (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}
