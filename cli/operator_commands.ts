/** Command-line definitions of the operators' commands. */
import type { CAC } from 'cac'
import type { AuditOptions, Print, TargetOptions } from './operator_actions.ts'

/** Adds the operators' commands to the command line. */
export function addOperatorCommands (cli: CAC, print: Print): void {
  const addCommand = (name: string, description: string) => cli.command(name, description)
    .option('--daemon <url>', 'Operators\' interface of any daemon', { default: 'http://127.0.0.1:8081' })
    .option('--credential <text>', 'Operator\'s credential; default from VERBENATILLER_CREDENTIAL')

  addCommand('config <action> [file]', 'Validate FILE, apply FILE or show the shared configuration')
    .option('--base <revision>', 'Refuse the change unless this revision is in force')
    .action(async (action: string, file: string | undefined, options: TargetOptions & { base?: number }) => {
      const { runConfig } = await import('./operator_actions.ts')
      await runConfig(action, file, { ...options, print })
    })

  addCommand('status', 'Show a daemon\'s view of members, endpoints and whether each class meets its targets')
    .option('--explain <request>', 'Show the decisions about one request, whichever daemon holds it')
    .action(async (options: TargetOptions & { explain?: string }) => {
      const { runStatus } = await import('./operator_actions.ts')
      await runStatus({ ...options, print })
    })

  addCommand('audit', 'Show the audit trail of changes')
    .option('--kind <kind>', 'Only records of this kind')
    .option('--who <name>', 'Only changes of this operator')
    .option('--from <time>', 'Not before this time, ISO 8601')
    .option('--to <time>', 'Not after this time, ISO 8601')
    .action(async (options: AuditOptions) => {
      const { runAudit } = await import('./operator_actions.ts')
      await runAudit({ ...options, print })
    })

  addCommand('release <fingerprint>', 'Release a quarantined request or prompt part; status shows its fingerprint or id')
    .action(async (fingerprint: string, options: TargetOptions) => {
      const { runRelease } = await import('./operator_actions.ts')
      await runRelease(fingerprint, { ...options, print })
    })

  addCommand('drain', 'Drain the daemon: it hands over what it cannot finish and leaves')
    .action(async (options: TargetOptions) => {
      const { runDrain } = await import('./operator_actions.ts')
      await runDrain({ ...options, print })
    })
}
