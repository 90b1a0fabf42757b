/** Implementation of the operators' commands; loaded only when one of them runs. */
import { configSchema, InvalidError, parseJsonc, type FieldChange } from '../core/config/index.ts'
import { as } from '../core/ids/index.ts'
import { isPart } from '../core/quarantine/index.ts'
import { readTextFile } from '../daemon/read_text_file.ts'
import { settingsSchema } from '../daemon/settings.ts'
import type { AuditRecord } from '../daemon/config/audit.ts'
import type { RevisionReach } from '../daemon/config/config_task.ts'
import type { StatusReport } from '../daemon/status.ts'
import { validatePlatformFile } from '../platform/index.ts'
import { operatorCall, type OperatorTarget } from './operator_client.ts'

const MS_PER_MIN = 60_000

/** Prints one line of output. */
export type Print = (line: string) => void

/** Options that select a daemon and the credential to use. */
export interface TargetOptions { daemon?: string, credential?: string }

/** Filters of an audit query. */
export type AuditOptions = TargetOptions & Record<'kind' | 'who' | 'from' | 'to', string | undefined>

/**
 * Runs `config validate`, `config show` or `config apply`.
 * @throws {InvalidError} If the file or the command line is invalid.
 */
export async function runConfig (action: string, file: string | undefined, options: TargetOptions & { base?: number, print: Print }): Promise<void> {
  const { print } = options
  if (action === 'validate') return validateFile(file, print)
  if (action === 'show') return await showConfig(resolveAuthenticatedTarget(options), print)
  if (action === 'apply') return await applyConfig(resolveAuthenticatedTarget(options), file, { base: options.base, print })
  throw new InvalidError('command line', [`config: expected validate, apply or show, found "${action}"`])
}

/**
 * Prints the status of a daemon or, with `explain`, its decisions about a request.
 *
 * A platform daemon needs no credential for its status: its address is not reachable by callers.
 */
export async function runStatus (options: TargetOptions & { explain?: string, print: Print }): Promise<void> {
  const { print, explain: request } = options
  if (request === undefined) return printStatus(await operatorCall(resolveTarget(options), 'GET', '/status') as StatusReport, print)
  const { decisions } = await operatorCall(resolveAuthenticatedTarget(options), 'GET', `/explain/${encodeURIComponent(request)}`) as { decisions: Array<{ atMs: number, text: string }> }
  for (const { atMs, text } of decisions) print(`${new Date(atMs).toISOString()}  ${text}`)
}

/** Prints the audit trail. */
export async function runAudit (options: AuditOptions & { print: Print }): Promise<void> {
  const given = Object.entries(options).filter(([key, value]) => ['kind', 'who', 'from', 'to'].includes(key) && value !== undefined) as Array<[string, string]>
  const records = await operatorCall(resolveAuthenticatedTarget(options), 'GET', `/audit?${new URLSearchParams(given)}`) as AuditRecord[]
  for (const record of records) options.print(formatAuditRecord(record))
}

/** Releases a quarantined request at all daemons. A platform daemon needs no credential: its address is not reachable by callers. */
export async function runRelease (fingerprint: string, options: TargetOptions & { print: Print }): Promise<void> {
  const { released } = await operatorCall(resolveTarget(options), 'POST', `/quarantine/${encodeURIComponent(fingerprint)}/release`) as { released: string }
  options.print(`${released} is released from quarantine`)
}

/** Asks a daemon to drain. */
export async function runDrain (options: TargetOptions & { print: Print }): Promise<void> {
  const { draining } = await operatorCall(resolveAuthenticatedTarget(options), 'POST', '/drain') as { draining: string }
  options.print(`${draining} is draining`)
}

function resolveTarget (options: TargetOptions): OperatorTarget {
  return { daemon: options.daemon!, credential: options.credential ?? process.env.VERBENATILLER_CREDENTIAL }
}

function resolveAuthenticatedTarget (options: TargetOptions): OperatorTarget {
  const target = resolveTarget(options)
  if (!target.credential) throw new InvalidError('command line', ['--credential: expected an operator\'s credential, found nothing'])
  return target
}

function requireFile (file: string | undefined): string {
  if (!file) throw new InvalidError('command line', ['config: expected a file, found nothing'])
  return file
}

/** Validates a settings or configuration file of either kind of daemon; its contents determine which one it is. */
function validateFile (file: string | undefined, print: Print): void {
  const path = requireFile(file)
  const text = readTextFile(path)
  const found = validatePlatformFile(text, path) ?? validateDaemonFile(text, path)
  print(`${path}: valid ${found}`)
}

function validateDaemonFile (text: string, path: string): string {
  const isSettings = /"ports"\s*:/.test(text)
  parseJsonc(isSettings ? settingsSchema : configSchema, text, path)
  return isSettings ? 'settings' : 'configuration'
}

async function showConfig (target: OperatorTarget, print: Print): Promise<void> {
  const { revision, sure, reach, config } = await operatorCall(target, 'GET', '/config') as { revision: number, sure: boolean, reach: RevisionReach, config: unknown }
  print(`// revision ${revision}, in force on ${reach.daemons} of ${reach.of} daemons${sure ? '' : '; a newer one may exist, the store does not answer'}`)
  print(JSON.stringify(config, null, 2))
}

async function applyConfig (target: OperatorTarget, file: string | undefined, { base, print }: { base: number | undefined, print: Print }): Promise<void> {
  const path = requireFile(file)
  const config = parseJsonc(configSchema, readTextFile(path), path)
  const headers: Record<string, string> = base === undefined ? {} : { 'if-match': `"${base}"` }
  const { revision, diff, reach } = await operatorCall(target, 'PUT', '/config', { body: config, headers }) as { revision: number, diff: FieldChange[], reach: RevisionReach }
  for (const change of diff) print(`  ${change.path}: ${JSON.stringify(change.from)} -> ${JSON.stringify(change.to)}`)
  print(`revision ${revision} in force on ${reach.daemons} of ${reach.of} daemons`)
}

function printStatus (status: StatusReport, print: Print): void {
  print(`${status.daemon}: ${status.state}, ${status.open} open, ${status.queued} queued`)
  print(`configuration: revision ${status.revision}${status.revisionSure ? '' : ' (a newer one may exist, the store does not answer)'}`)
  print(`daemons: ${Object.entries(status.members).map(([state, count]) => `${count} ${state}`).join(', ')}`)
  print(`endpoints: ${status.endpoints.live} live, ${status.endpoints.leaving} leaving, ${status.endpoints.ejected} ejected after failures, ${status.endpoints.backingOff} that asked for time`)
  for (const pool of status.pools) print(`pool ${pool.name}: ${pool.running} requests in ${pool.slots} slots of ${pool.live} endpoints; ${pool.doing}`)
  for (const { fingerprint, crashed, forMs } of status.quarantined) print(`${isPart(as(fingerprint)) ? 'prompt part' : 'request'} ${fingerprint}: quarantined for ${Math.ceil(forMs / MS_PER_MIN)} min, ${crashed.length} endpoints that ran it crashed: ${crashed.join(', ')}`)
  for (const cls of status.classes) {
    const met = cls.met === undefined ? 'not known' : cls.met ? 'met' : 'NOT MET'
    print(`${cls.name}: targets ${met}; wanted ${cls.target}; ${cls.why}`)
  }
}

function formatAuditRecord (record: AuditRecord): string {
  const revisions = record.toRevision === undefined ? '' : ` ${record.fromRevision} -> ${record.toRevision}`
  return `${new Date(record.atMs).toISOString()}  ${record.kind.padEnd(14)} ${record.who}${revisions}  ${JSON.stringify(record.what)}`
}
