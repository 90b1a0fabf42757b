#!/usr/bin/env node
/** Entry point of the command line. */
import { hangupReceived } from './_early_hangup.ts'
import cac from 'cac'
import { InvalidError } from '../core/config/validate.ts'
import { flushLog, startLog } from '../daemon/log/index.ts'
import { OperatorCallError } from './operator_client.ts'
import { addOperatorCommands } from './operator_commands.ts'
import { readOnceWritten } from './_settings_file.ts'

const EXIT_FAILED = 1
const EXIT_INVALID = 2
const MS_PER_S = 1000
const print = (line: string) => { process.stdout.write(`${line}\n`) }

const cli = cac('verbenatiller')

cli.command('serve', 'Run one daemon until SIGTERM, which drains it')
  .option('--settings <file>', 'Settings of the daemon, JSON with comments; default from VERBENATILLER_SETTINGS')
  .action(async (options: { settings?: string }) => {
    const path = options.settings ?? process.env.VERBENATILLER_SETTINGS
    if (!path) throw new InvalidError('command line', ['--settings: expected a file, found nothing'])
    const { isPlatformSettings } = await import('./settings_kind.ts')
    if (await readOnceWritten(() => isPlatformSettings(path))) await servePlatformDaemon(path)
    else await serveDaemon(path)
  })

async function servePlatformDaemon (path: string): Promise<void> {
  const { loadPlatformSettings, toProxySettings, servePlatform } = await import('../platform/index.ts')
  const { watchSettings } = await import('./settings_watch.ts')
  const settings = await readOnceWritten(() => loadPlatformSettings(path))
  const starting = servePlatform(settings)
  drainOnSignal(starting)
  startLog({ daemon: settings.name, after: starting })
  const daemon = await starting
  watchSettings(path, { reload: () => daemon.reconfigure(toProxySettings(loadPlatformSettings(path))), reloadOnStart: hangupReceived() })
  await exitOnceLeft(daemon)
}

async function serveDaemon (path: string): Promise<void> {
  const { Daemon, loadSettings } = await import('../daemon/index.ts')
  const settings = await readOnceWritten(() => loadSettings(path))
  await startLog({ daemon: settings.name })
  const starting = Daemon.start({ settings })
  drainOnSignal(starting)
  const daemon = await starting
  print(JSON.stringify({ daemon: daemon.id, ...daemon.addresses }))
  await exitOnceLeft(daemon)
}

/** Drains a daemon on a signal. Must be called before the daemon listens, since a signal without a handler ends the process and cuts off its callers. */
function drainOnSignal (starting: Promise<{ drain (): Promise<void> }>): void {
  const drain = () => { starting.then((daemon) => daemon.drain(), () => { /* the start has failed, which ends the process */ }) }
  process.on('SIGTERM', drain)
  process.on('SIGINT', drain)
}

async function exitOnceLeft (daemon: { readonly left: Promise<void> }): Promise<void> {
  await daemon.left
  // An exit waits for writes under way, and so without end for a pipe that nobody reads.
  if (!await flushLog()) process.kill(process.pid, 'SIGKILL')
  process.exit(0)
}

cli.command('demo', 'Run small versions of both deployments against the stand-in platform')
  .option('--seed <number>', 'Seed of all random choices', { default: 1 })
  .option('--requests <number>', 'Requests for each deployment', { default: 200 })
  .action(async (options: { seed: number, requests: number }) => {
    const { runDemo } = await import('../demo/demo.ts')
    const totals = await runDemo({ ...options, print })
    print(JSON.stringify(totals))
    const broken = totals.lost + totals.doubled + totals.crossed + totals.falselyNotRun
    process.exit(broken === 0 ? 0 : EXIT_FAILED)
  })

cli.command('platform', 'Run the stand-in platform of a deployment on the ports of the example settings, for use with local daemons')
  .option('--deployment <name>', 'adunni-levy or kingston-parish', { default: 'adunni-levy' })
  .action(async (options: { deployment: string }) => {
    const { adunniLevy, kingstonParish } = await import('../demo/deployments.ts')
    const { serveStandIns } = await import('../demo/platform.ts')
    const served = await serveStandIns(options.deployment === 'kingston-parish' ? kingstonParish() : adunniLevy(), { objectApi: 7000, cloudApi: 7001 })
    print(JSON.stringify({ objectApi: served.objectApi.url, cloudApi: served.cloudApi.url, hosts: served.cloud.live().length }))
  })

cli.command('bench [name]', 'Run one benchmark; the last line of output is JSON')
  .option('--list', 'List the benchmarks')
  .option('--seed <number>', 'Seed of all random choices', { default: 1 })
  .option('--count <number>', 'Size of the run, if the benchmark has one')
  .action(async (name: string | undefined, options: { list?: boolean, seed: number, count?: number }) => {
    const { BENCHES } = await import('../bench/index.ts')
    if (options.list) return BENCHES.forEach((bench) => print(`${bench.name.padEnd(14)}${bench.about}`))
    const bench = BENCHES.find((candidate) => candidate.name === name)
    if (!bench) throw new InvalidError('command line', [`bench: expected one of ${BENCHES.map((each) => each.name).join(', ')}, found "${name ?? ''}"`])
    const figures = await bench.run({ seed: options.seed, count: options.count, print })
    print(JSON.stringify({ bench: bench.name, seed: options.seed, ...figures }))
    process.exit(0)
  })

cli.command('soak', 'Run daemons as processes, inject faults and check every answer against the guarantees; the last line of output is JSON')
  .option('--seed <number>', 'Seed of all random choices', { default: 1 })
  .option('--minutes <number>', 'Minutes during which faults are injected', { default: 1 })
  .option('--daemons <number>', 'Number of daemons', { default: 4 })
  .option('--faults <names>', 'Names of the only faults to inject, separated by commas')
  .option('--calm-s <seconds>', 'Seconds without faults before some daemons are put out of step', { default: 0 })
  .action(async ({ calmS, ...options }: { seed: number, minutes: number, daemons: number, faults?: string, calmS: number }) => {
    const { runSoak } = await import('../platform/soak/index.ts')
    const report = await runSoak({ ...options, calmMs: calmS * MS_PER_S, faults: options.faults?.split(','), print })
    print(JSON.stringify(report))
    process.exit(report.broken.length === 0 ? 0 : EXIT_FAILED)
  })

cli.command('explain <request> [...files]', 'Show the steps of one request from daemons\' logs, and the likely cause of its outcome; reads standard input if no files are given')
  .option('--json', 'Print JSON')
  .action(async (request: string, files: string[], options: { json?: boolean }) => {
    const { runExplain } = await import('./explain.ts')
    const found = await runExplain(request, { files, json: options.json, print })
    if (!found) process.exitCode = EXIT_FAILED
  })

cli.command('compile-ahead', 'Run a platform daemon, or only load its code if no settings are given; the launcher writes the compiled code to the code cache on exit')
  .option('--settings <file>', 'Settings of the daemon; it serves until SIGTERM')
  .action(async (options: { settings?: string }) => {
    if (options.settings) await servePlatformDaemon(options.settings)
    else await import('../platform/index.ts')
  })

addOperatorCommands(cli, print)

cli.help()

async function main (): Promise<void> {
  try {
    cli.parse(process.argv, { run: false })
    if (!cli.matchedCommand && !cli.options.help) throw new InvalidError('command line', [`expected a command, found "${cli.args[0] ?? ''}"; see --help`])
    await cli.runMatchedCommand()
  } catch (err) {
    if (err instanceof InvalidError) {
      for (const problem of err.problems) process.stderr.write(`${problem}\n`)
      process.exitCode = EXIT_INVALID
    } else {
      process.stderr.write(`${(err as Error).message}\n`)
      if (err instanceof OperatorCallError && err.body.difference) process.stderr.write(`${JSON.stringify(err.body.difference, null, 2)}\n`)
      process.exitCode = EXIT_FAILED
    }
  }
}

/** Resolves when the command has returned. `serve` returns when the daemon has left. */
export const finished = main()
