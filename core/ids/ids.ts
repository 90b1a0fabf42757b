/** Branded identifiers, which prevent an id of one kind from being used in place of another. */

declare const brand: unique symbol

/** A value of type `T` that is distinguished from other values of `T` by its brand. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name }

/** A request, unique in the whole fleet. Contains the id of the daemon that holds its answer. */
export type RequestId = Branded<string, 'RequestId'>
/** One run of a daemon process. A restarted daemon has a new id. */
export type DaemonId = Branded<string, 'DaemonId'>
/** One start of a model engine or plain service process. */
export type EndpointId = Branded<string, 'EndpointId'>
/** A host of the cloud. */
export type HostId = Branded<string, 'HostId'>
/** A set of hosts that fail or are reclaimed together. */
export type FailureDomain = Branded<string, 'FailureDomain'>
/** A set of failure domains that are close to each other; another region is farther away and may be cut off as a whole. */
export type Region = Branded<string, 'Region'>
/** A client account, identified by its credentials. */
export type AccountId = Branded<string, 'AccountId'>
/** A class of work. */
export type ClassName = Branded<string, 'ClassName'>
/** Version of the software that runs on an endpoint. */
export type EndpointVersion = Branded<string, 'EndpointVersion'>
/** A group of endpoints that serve the same work. */
export type PoolName = Branded<string, 'PoolName'>
/** Hash that identifies a stream over all tries of its caller. */
export type StreamKey = Branded<string, 'StreamKey'>
/** Fingerprint of a request's content, equal for requests of one client account with the same content. */
export type Fingerprint = Branded<string, 'Fingerprint'>
/** A part of prompts, as one pool runs it. */
export type PartId = Branded<string, 'PartId'>
/** What may be the cause of a crash: a request with all of its content, or a part of its prompt. */
export type Suspect = Fingerprint | PartId

const SEPARATOR = '~'

/** Casts a plain string to an id without validation. */
export function as<Id extends Branded<string, string>> (value: string): Id {
  return value as Id
}

/**
 * Returns a request id that contains the id of its daemon.
 * @param daemon The daemon that holds the answer.
 * @param suffix Text unique within that daemon.
 * @example `requestId(as<DaemonId>('entry-1'), 'x7')` gives `entry-1~x7`.
 */
export function requestId (daemon: DaemonId, suffix: string): RequestId {
  return as(`${daemon}${SEPARATOR}${suffix}`)
}

/**
 * Returns the id of one start of an endpoint.
 *
 * A process that restarts under its old name has lost its state, so nothing known about the previous one may be applied to it.
 * @param name Name of the endpoint on the platform, the same for each start.
 * @param startedAtMs Start time in milliseconds since the epoch; undefined if each start has its own name.
 * @example `endpointId('i-7', 1700000000000)` gives `i-7~1700000000000`.
 */
export function endpointId (name: string, startedAtMs: number | undefined): EndpointId {
  return as(startedAtMs === undefined ? name : `${name}${SEPARATOR}${startedAtMs}`)
}

/**
 * Returns true if an id belongs to a start of the named endpoint.
 * @param name Name of the endpoint on the platform.
 * @example `isStartOf('i-7', endpointId('i-7', 1700000000000))` is true.
 */
export function isStartOf (name: string, id: EndpointId): boolean {
  if (!id.startsWith(name)) return false
  const rest = id.slice(name.length)
  return rest === '' || (rest.startsWith(SEPARATOR) && !Number.isNaN(Number(rest.slice(SEPARATOR.length))))
}

/**
 * Extracts the daemon id from a request id.
 * @returns The daemon id, or undefined if the text is not a request id.
 */
export function daemonOf (id: string): DaemonId | undefined {
  const at = id.indexOf(SEPARATOR)
  return at > 0 ? as<DaemonId>(id.slice(0, at)) : undefined
}
