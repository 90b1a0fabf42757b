/** Streams that may run once on a failure domain that leaves: moved, or left to finish in place. */
import { simulateReclaim, type ReclaimSimulationOptions } from './_moving_fleet.ts'
import { round, type Bench, type Figures } from './bench.ts'

const NOTICES_MS = [1000, 2500, 5000]
/** Rates of an endpoint's link, in bytes per second. */
const LINKS_BYTES_PER_S = [46e9, 2e9, 0.5e9]
const FLEETS = [9, 195]
const BASE = { leaving: 5, staying: 13, occupancy: 0.6 }
const MB = 1e6

/** `npm run bench -- moves`. */
export const movesBench: Bench = {
  name: 'moves',
  about: 'streams that may run once and leave a reclaimed domain by KV moves, by notice and link, beside finishing in place',
  async run ({ seed, print }) {
    const rows: Figures[] = []
    for (const daemons of FLEETS) {
      for (const noticeMs of NOTICES_MS) {
        rows.push(await row({ ...BASE, seed, daemons, noticeMs, linkBytesPerS: LINKS_BYTES_PER_S[0]!, moves: false }))
        for (const linkBytesPerS of LINKS_BYTES_PER_S) rows.push(await row({ ...BASE, seed, daemons, noticeMs, linkBytesPerS, moves: true }))
      }
    }
    for (const each of rows) print(JSON.stringify(each))
    return { rows }
  }
}

async function row (options: ReclaimSimulationOptions): Promise<Figures> {
  const { streams, whole, moved, doubled, bytesMoved, recomputedTokens, lostTokens } = await simulateReclaim(options)
  return {
    daemons: options.daemons,
    noticeMs: options.noticeMs,
    way: options.moves ? `moves, ${options.linkBytesPerS / 1e9} GB/s` : 'in place',
    streams,
    whole: round(whole / streams, 3),
    moved,
    doubled,
    movedMb: Math.round(bytesMoved / MB),
    recomputedTokens,
    lostTokens
  }
}
