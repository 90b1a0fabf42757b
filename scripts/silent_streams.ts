/** Runs streams beside silent endpoints; the only argument is their options, as JSON. Prints the report as one line of JSON. */
import { runSilentStreams, type SilentStreamsOptions } from '../platform/soak/silent_streams.ts'

console.log(JSON.stringify(await runSilentStreams(JSON.parse(process.argv[2]!) as SilentStreamsOptions)))
process.exit(0)
