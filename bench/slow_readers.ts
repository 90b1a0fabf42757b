/** Memory of a daemon and latency of sound requests while callers and endpoints read slowly. */
import { delay } from '../core/time/index.ts'
import { BULK_BYTES, SlowReaders } from '../platform/standins/slow_readers.ts'
import { round, type Bench, type Figures } from './bench.ts'

const MEMORY_MB = 250
const CALLERS = 200
const UPLOADS = 40
const SECONDS = 8
const SOUND_PER_S = 150
/** One in so many slow callers sends a large body as well. */
const BODY_EVERY = 4
const BYTES_PER_S = 1024
/** Time between the end of a slow caller's connection and its next request, in milliseconds. */
const AGAIN_MS = 5000
/** Time between the starts of two slow callers, in milliseconds. */
const SPACING_MS = 5

/** `npm run bench -- slow-readers`. */
export const slowReadersBench: Bench = {
  name: 'slow-readers',
  about: 'memory and sound requests beside callers and endpoints that read slowly, with and without a memory limit',
  async run ({ print, count = SECONDS }) {
    const figures: Figures = {}
    for (const [name, memoryMb] of [['bounded', MEMORY_MB], ['unbounded', undefined]] as const) {
      const measured = await measure({ memoryMb, seconds: count })
      print(`${name}: ${JSON.stringify(measured)}`)
      figures[name] = measured
    }
    return figures
  }
}

async function measure ({ memoryMb, seconds }: { memoryMb: number | undefined, seconds: number }): Promise<Figures> {
  const rig = await SlowReaders.start({ memoryMb })
  try {
    await rig.soundLoad({ seconds: 3, perS: SOUND_PER_S })
    const alone = await rig.soundLoad({ seconds, perS: SOUND_PER_S })
    const restMb = rig.memoryMb().peak
    const ends = startSlowCallers(rig)
    await delay(3 * CALLERS * SPACING_MS)
    const beside = await rig.soundLoad({ seconds, perS: SOUND_PER_S })
    const { now, peak } = rig.exited ? { now: NaN, peak: NaN } : rig.memoryMb()
    ends.stopped = true
    return {
      limitMb: memoryMb,
      exited: rig.exited,
      restMb: round(restMb),
      peakMb: round(peak),
      endMb: round(now),
      soundAlone: { ...alone, p50Ms: round(alone.p50Ms), p99Ms: round(alone.p99Ms) },
      soundBeside: { ...beside, p50Ms: round(beside.p50Ms), p99Ms: round(beside.p99Ms) },
      slowEnds: ends.count
    }
  } finally {
    await rig.close()
  }
}

/** Starts slow callers, each of which sends its request again when its connection has ended. */
function startSlowCallers (rig: SlowReaders): { stopped: boolean, count: number } {
  const ends = { stopped: false, count: 0 }
  const start = (options: Parameters<SlowReaders['slowCaller']>[0]) => {
    if (ends.stopped) return
    rig.slowCaller(options).socket.on('close', () => {
      ends.count++
      setTimeout(() => start(options), AGAIN_MS)
    })
  }
  const startAt = (i: number, options: Parameters<SlowReaders['slowCaller']>[0]) => setTimeout(() => start(options), i * SPACING_MS)
  for (let i = 0; i < 2 * CALLERS; i++) startAt(i, { path: i % BODY_EVERY === 0 ? '/order/1' : '/bulk/1', bytesPerS: i < CALLERS ? 0 : BYTES_PER_S, bodyBytes: i % BODY_EVERY === 0 ? BULK_BYTES : 0 })
  for (let i = 0; i < UPLOADS; i++) startAt(2 * CALLERS + i, { path: '/upload/1', bytesPerS: BYTES_PER_S, bodyBytes: BULK_BYTES })
  return ends
}
