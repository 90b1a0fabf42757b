/** The operators' commands against a running daemon. */
import type { CAC } from 'cac'
import { configSchema, InvalidError, parseJsonc, type FieldChange } from '../core/config/index.ts'
import { settingsSchema, readText } from '../daemon/settings.ts'
import type { AuditRecord } from '../daemon/config/audit.ts'
import type { InForce } from '../daemon/config/config_task.ts'
import type { StatusReport } from '../daemon/status.ts'
import { operatorCall, type OperatorTarget } from './operator_client.ts'

type Print = (line: string) => void
interface TargetOptions { daemon?: string, credential?: string }

/** Adds the commands. */
export function addOperatorCommands (cli: CAC, print: Print): void {
  const targeted = (name: string, about: string) => cli.command(name, about)
    .option('--daemon <url>', 'Operators\' interface of any daemon', { default: 'http://127.0.0.1:8081' })
    .option('--credential <text>', 'Operator\'s credential; default from VERBENATILLER_CREDENTIAL')

  targeted('config <action> [file]', 'validate FILE, apply FILE or show the shared configuration')
    .option('--base <revision>', 'Refuse the change unless this revision is in force')
    .action(async (action: string, file: string | undefined, options: TargetOptions & { base?: number }) => {
      if (action === 'validate') return validateFile(file, print)
      if (action === 'show') return showConfig(targetOf(options), print)
      if (action === 'apply') return await applyConfig(targetOf(options), file, options.base, print)
      throw new InvalidError('command line', [`config: expected validate, apply or show, found "${action}"`])
    })

  targeted('status', 'What a daemon sees: members, endpoints, whether each class meets its targets')
    .option('--explain <request>', 'The decisions about one request, wherever it is held')
    .action(async (options: TargetOptions & { explain?: string }) => {
      if (options.explain) return await explain(targetOf(options), options.explain, print)
      printStatus(await operatorCall(targetOf(options), 'GET', '/status') as StatusReport, print)
    })

  targeted('audit', 'The audit trail of changes')
    .option('--kind <kind>', 'Only records of this kind')
    .option('--who <name>', 'Only changes of this operator')
    .option('--from <time>', 'Not before this time, ISO 8601')
    .option('--to <time>', 'Not after this time, ISO 8601')
    .action(async (options: TargetOptions & Record<'kind' | 'who' | 'from' | 'to', string | undefined>) => {
      const given = Object.entries(options).filter(([key, value]) => ['kind', 'who', 'from', 'to'].includes(key) && value !== undefined) as Array<[string, string]>
      const records = await operatorCall(targetOf(options), 'GET', `/audit?${new URLSearchParams(given)}`) as AuditRecord[]
      for (const record of records) print(auditLine(record))
    })

  targeted('drain', 'Drain the daemon: it hands over what it cannot finish and leaves')
    .action(async (options: TargetOptions) => {
      const { draining } = await operatorCall(targetOf(options), 'POST', '/drain') as { draining: string }
      print(`${draining} is draining`)
    })
}

function targetOf (options: TargetOptions): OperatorTarget {
  const credential = options.credential ?? process.env.VERBENATILLER_CREDENTIAL
  if (!credential) throw new InvalidError('command line', ['--credential: expected an operator\'s credential, found nothing'])
  return { daemon: options.daemon!, credential }
}

function readConfig (file: string | undefined) {
  if (!file) throw new InvalidError('command line', ['config: expected a file, found nothing'])
  return parseJsonc(configSchema, readText(file), file)
}

/** Settings and configurations alike; the file's own shape tells which it is. */
function validateFile (file: string | undefined, print: Print): void {
  if (!file) throw new InvalidError('command line', ['config: expected a file, found nothing'])
  const text = readText(file)
  const isSettings = /"ports"\s*:/.test(text)
  parseJsonc(isSettings ? settingsSchema : configSchema, text, file)
  print(`${file}: valid ${isSettings ? 'settings' : 'configuration'}`)
}

async function showConfig (target: OperatorTarget, print: Print): Promise<void> {
  const { revision, sure, reach, config } = await operatorCall(target, 'GET', '/config') as { revision: number, sure: boolean, reach: InForce, config: unknown }
  print(`// revision ${revision}, in force on ${reach.daemons} of ${reach.of} daemons${sure ? '' : '; a newer one may exist, the store does not answer'}`)
  print(JSON.stringify(config, null, 2))
}

async function applyConfig (target: OperatorTarget, file: string | undefined, base: number | undefined, print: Print): Promise<void> {
  const config = readConfig(file)
  const headers: Record<string, string> = base === undefined ? {} : { 'if-match': `"${base}"` }
  const { revision, diff, reach } = await operatorCall(target, 'PUT', '/config', { body: config, headers }) as { revision: number, diff: FieldChange[], reach: InForce }
  for (const change of diff) print(`  ${change.path}: ${JSON.stringify(change.from)} -> ${JSON.stringify(change.to)}`)
  print(`revision ${revision} in force on ${reach.daemons} of ${reach.of} daemons`)
}

async function explain (target: OperatorTarget, id: string, print: Print): Promise<void> {
  const { decisions } = await operatorCall(target, 'GET', `/explain/${encodeURIComponent(id)}`) as { decisions: Array<{ atMs: number, text: string }> }
  for (const { atMs, text } of decisions) print(`${new Date(atMs).toISOString()}  ${text}`)
}

function printStatus (status: StatusReport, print: Print): void {
  print(`${status.daemon}: ${status.state}, ${status.open} open, ${status.queued} queued`)
  print(`configuration: revision ${status.revision}${status.revisionSure ? '' : ' (a newer one may exist, the store does not answer)'}`)
  print(`daemons: ${Object.entries(status.members).map(([state, count]) => `${count} ${state}`).join(', ')}`)
  print(`endpoints: ${status.endpoints.live} live, ${status.endpoints.leaving} leaving, ${status.endpoints.ejected} left alone after failures`)
  for (const cls of status.classes) {
    const met = cls.met === undefined ? 'not known' : cls.met ? 'met' : 'NOT MET'
    print(`${cls.name}: targets ${met}; wanted ${cls.target}; ${cls.why}`)
  }
}

function auditLine (record: AuditRecord): string {
  const revisions = record.toRevision === undefined ? '' : ` ${record.fromRevision} -> ${record.toRevision}`
  return `${new Date(record.atMs).toISOString()}  ${record.kind.padEnd(14)} ${record.who}${revisions}  ${JSON.stringify(record.what)}`
}
