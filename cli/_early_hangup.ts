/** Prevents a SIGHUP from terminating the process before its own handler is installed. Must be imported first. */

let received = false
process.on('SIGHUP', () => { received = true })

/** Returns true if a SIGHUP was received since this module was loaded. */
export function hangupReceived (): boolean {
  return received
}
