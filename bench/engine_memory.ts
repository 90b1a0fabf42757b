/** Memory that daemons make engines hold, when three times as much is asked for: bounded by grants, by a fixed share for each daemon, or by slots only. */
import { simulatePlacement, type SimulatedClass } from './_placing.ts'
import type { BatchEngine } from './_batch_engine.ts'
import type { MemoryBound } from './_engine_memory.ts'
import { round, type Bench, type Figures } from './bench.ts'

const FLEETS = [9, 67, 195, 420]
const ENGINES = 8
const MEMORY_TOKENS = 646_419
/** Memory that is asked for, in multiples of what the engines have. */
const DEMAND = 3
const SLOTS = 64
const PIECES = 14
const PIECE_MS = 300
const ENGINE = { slots: SLOTS, queue: 25, readTokensPerMs: 2000, firstMs: 60, pieceMs: PIECE_MS, pieceMsPerRequest: 0, memoryTokens: MEMORY_TOKENS }
/** Tokens that a request of the class holds on average: its prompt, and three times the tokens of its answer. */
const REQUEST_TOKENS = 12_000 + PIECES * 27
const SPAN_MS = 24_000
const WARMUP_MS = 8000
const KEEPER_DIES_AT_MS = 12_000

interface Case { name: string, memory?: MemoryBound }
const CASES: Case[] = [
  { name: 'slots only' },
  { name: 'fixed share for each daemon', memory: { kind: 'fixed-share', tokens: MEMORY_TOKENS } },
  { name: 'grants', memory: { kind: 'grants', tokens: MEMORY_TOKENS } },
  { name: 'grants, reports late by 1 s', memory: { kind: 'grants', tokens: MEMORY_TOKENS, lateMs: 1000 } },
  { name: 'grants, keeper replaced', memory: { kind: 'grants', tokens: MEMORY_TOKENS, keeperDiesAtMs: KEEPER_DIES_AT_MS } }
]

/** `npm run bench -- engine-memory`. */
export const engineMemoryBench: Bench = {
  name: 'engine-memory',
  about: 'peak and use of the memory of 8 engines, three times as much being asked for by 9 to 420 daemons',
  run ({ seed, print }) {
    const rows = FLEETS.flatMap((daemons) => CASES.map((each) => {
      const row = { daemons, ...measure({ ...each, daemons, seed }) }
      print(JSON.stringify(row))
      return row
    }))
    return { rows }
  }
}

function measure ({ name, memory, daemons, seed }: Case & { daemons: number, seed: number }): Figures {
  let engines: readonly BatchEngine[] = []
  let samples = 0
  let heldTokens = 0
  let messages = 0
  const results = simulatePlacement({
    seed,
    daemons,
    engines: ENGINES,
    engine: ENGINE,
    classes: [classOf()],
    spanMs: SPAN_MS,
    warmupMs: WARMUP_MS,
    ...(memory && { memory: { ...memory, onEnd: (count: number) => { messages = count } } }),
    sample (all) {
      engines = all
      samples++
      heldTokens += all.reduce((sum, engine) => sum + engine.heldTokens, 0) / all.length
    }
  })
  const { asked, inTime, late, refusedByDaemon } = results.get('long')!
  return {
    bound: name,
    crashes: engines.reduce((sum, { crashes }) => sum + crashes, 0),
    peak: round(Math.max(...engines.map(({ peakHeldTokens }) => peakHeldTokens)) / MEMORY_TOKENS, 3),
    used: round(heldTokens / samples / MEMORY_TOKENS, 3),
    begun: round((inTime + late) / asked, 3),
    refused: round(refusedByDaemon / asked, 3),
    messagesPerS: Math.round(messages / SPAN_MS * 1000)
  }
}

function classOf (): SimulatedClass {
  const perS = DEMAND * ENGINES * (MEMORY_TOKENS / REQUEST_TOKENS) / (PIECES * PIECE_MS / 1000)
  return { name: 'long', perS, urgent: false, uniqueTokens: 6600, sharedTokens: 5400, subjects: 400, pieces: PIECES, firstTokenMs: 4000, deadlineMs: 8000, maxAttempts: 1 }
}
