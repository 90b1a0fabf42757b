/** Reloads a settings file when it changes or on SIGHUP. */
import { watchFile } from 'node:fs'
import { problemsOf } from '../core/config/validate.ts'
import { log } from '../daemon/log/index.ts'

/** Interval in milliseconds at which the file is polled, because the file systems of some hosts do not report changes. */
const POLL_INTERVAL_MS = 1000

/** Options of {@linkcode watchSettings}. */
export interface WatchSettingsOptions {
  /** Reads and applies the settings. Returns the changed fields and those that take effect only after a restart. */
  reload (): { changed: string[], needRestart: string[] }
  /** True to reload immediately, because the file may have changed since it was read. Default false. */
  reloadOnStart?: boolean
}

/**
 * Reloads the settings on SIGHUP, which would otherwise terminate the process, and when the file's modification time changes. Settings that cannot
 * be read are logged and change nothing.
 */
export function watchSettings (path: string, { reload, reloadOnStart = false }: WatchSettingsOptions): void {
  const reloadAndLog = () => {
    try {
      log('settings-read', reload())
    } catch (err) {
      log('settings-refused', { problems: problemsOf(err) })
    }
  }
  process.on('SIGHUP', reloadAndLog)
  if (reloadOnStart) reloadAndLog()
  watchFile(path, { interval: POLL_INTERVAL_MS, persistent: false }, reloadAndLog)
}
