/** Runs the built daemon as a child process and reads its processor time from the kernel. */
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { readdirSync, readFileSync, writeFileSync } from 'node:fs'

/** Processor time of a process since its start, in milliseconds. */
export interface ProcessorTime {
  /** Of the thread that runs the daemon's code. */
  mainMs: number
  /** Of the runtime's own threads, which compile code and collect garbage. */
  runtimeMs: number
}

/** Options of {@linkcode BuiltDaemon}. */
export interface BuiltDaemonOptions {
  /** File that the settings are written to. */
  file: string
  settings: object
}

const NS_PER_MS = 1e6

/** A daemon from `target/`, as it is deployed. */
export class BuiltDaemon {
  readonly #options: BuiltDaemonOptions
  #child: ChildProcess | undefined

  constructor (options: BuiltDaemonOptions) {
    this.#options = options
    writeFileSync(options.file, JSON.stringify(options.settings))
  }

  /** Starts the process; the previous one must have ended. */
  start (): void {
    const { file } = this.#options
    this.#child = spawn(process.execPath, ['target/verbenatiller.cjs', 'serve', '--settings', file], { stdio: ['ignore', 'ignore', 'inherit'] })
  }

  /** Processor time of the running process. */
  get processorTime (): ProcessorTime {
    const pid = this.#child!.pid!
    const used = { mainMs: 0, runtimeMs: 0 }
    for (const thread of readdirSync(`/proc/${pid}/task`)) {
      // The first field is the time on the processor, in nanoseconds.
      const ms = Number(readFileSync(`/proc/${pid}/task/${thread}/schedstat`, 'utf8').split(' ', 1)[0]) / NS_PER_MS
      if (Number(thread) === pid) used.mainMs += ms
      else used.runtimeMs += ms
    }
    return used
  }

  /** Resident memory of the running process, in MB. */
  get residentMb (): number {
    const kb = /^VmRSS:\s+(\d+)/m.exec(readFileSync(`/proc/${this.#child!.pid}/status`, 'utf8'))?.[1]
    return Number(kb) / 1024
  }

  /** Ends the process and resolves once it has ended. */
  async end (signal: NodeJS.Signals = 'SIGKILL'): Promise<void> {
    const child = this.#child
    if (!child || child.exitCode !== null || child.signalCode !== null) return
    const ended = once(child, 'exit')
    child.kill(signal)
    await ended
  }
}
