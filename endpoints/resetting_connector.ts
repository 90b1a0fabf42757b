/** Opens the connections of HTTP clients whose calls must not take effect once they were given up. */
import { buildConnector } from 'undici'
import { resetUnanswered } from './reset_unanswered.ts'

/** Returns a connector for an agent, pool or client, whose calls are withdrawn with {@linkcode resetUnanswered} when they time out or are aborted. */
export function resettingConnector (options: buildConnector.BuildOptions = {}): buildConnector.connector {
  const connect = buildConnector(options)
  return (target, callback) => connect(target, (...result) => {
    if (result[1]) resetUnanswered(result[1])
    callback(...result)
  })
}
