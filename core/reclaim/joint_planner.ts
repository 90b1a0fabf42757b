/** The planner in use: decides for all threatened streams at once. */
import type { EndpointId } from '../ids/index.ts'
import { knapsack } from './_knapsack.ts'
import {
  canFinish, directivePrice, exportMs, prefillTokens, runPrice, usableMs,
  type Directive, type ReclaimPlanner, type ReclaimProblem, type Source, type Target, type ThreatenedStream
} from './problem.ts'

interface Room { target: Target, slots: number, kv: number, importMs: number, prefillMs: number }
interface Move { stream: ThreatenedStream, source: Source, saved: number }

/** Targets looked at for one stream; more cost time and, measured, save nothing. */
const TARGETS_PER_STREAM = 24

/**
 * Finishes what can finish, then spends each source's export seconds on the streams whose KV cache is worth most, then resumes
 * the rest where their prefix is cached or the run is cheapest, and holds what fits nowhere.
 *
 * The exports of a source are chosen by a knapsack over the notice; targets are filled from the most valuable move down, so that a
 * domain's loss does not spend the scarce import room on small streams.
 */
export class JointPlanner implements ReclaimPlanner {
  plan (problem: ReclaimProblem): Directive[] {
    const rooms = [...problem.targets.values()].map((target): Room => ({ target, slots: target.freeSlots, kv: target.freeKvTokens, importMs: 0, prefillMs: 0 }))
    const plan: Directive[] = []
    const leaving: ThreatenedStream[] = []
    for (const stream of problem.streams) {
      if (canFinish(stream, problem.sources.get(stream.source)!)) plan.push({ stream: stream.id, action: 'finish' })
      else leaving.push(stream)
    }
    const unmoved = new Set(leaving)
    for (const { stream, source } of exportsWorthMost(leaving, problem)) {
      const room = importRoom(stream, source, rooms, problem)
      if (!room) continue
      reserve(room, stream)
      room.importMs += importMs(stream, room.target)
      unmoved.delete(stream)
      plan.push({ stream: stream.id, action: 'import', target: room.target.id })
    }
    for (const stream of byDeadline(unmoved)) plan.push(resume(stream, rooms, problem))
    return plan
  }
}

function exportsWorthMost (streams: readonly ThreatenedStream[], problem: ReclaimProblem): Move[] {
  const cheapest = cheapestTargets(problem)
  const bySource = new Map<EndpointId, Move[]>()
  for (const stream of streams) {
    const source = problem.sources.get(stream.source)!
    const saved = savedByExport(stream, cheapest, problem)
    const moves = bySource.get(source.id) ?? []
    if (saved > 0) moves.push({ stream, source, saved })
    bySource.set(source.id, moves)
  }
  const chosen: Move[] = []
  for (const moves of bySource.values()) {
    if (moves.length === 0) continue
    const items = moves.map((move) => ({ size: exportMs(move.stream, move.source), value: move.saved }))
    for (const i of knapsack(items, usableMs(moves[0]!.source))) chosen.push(moves[i]!)
  }
  return chosen.sort((a, b) => b.saved - a.saved)
}

/** Money saved by moving the KV cache instead of the cheapest prefill. */
function savedByExport (stream: ThreatenedStream, cheapest: readonly Target[], problem: ReclaimProblem): number {
  let prefill = stream.kvTokens * problem.weights.recomputedToken
  let run = Infinity
  for (const target of cheapest) run = Math.min(run, runPrice(stream, target))
  for (const id of stream.cachedTokens.keys()) {
    const target = problem.targets.get(id)
    if (target && target.freeSlots > 0) prefill = Math.min(prefill, directivePrice(stream, { stream: stream.id, action: 'prefill', target: id }, problem) - run)
  }
  return prefill
}

function cheapestTargets (problem: ReclaimProblem): Target[] {
  return [...problem.targets.values()].filter((target) => target.freeSlots > 0).sort((a, b) => a.pricePerHour - b.pricePerHour).slice(0, 1)
}

/** The cheapest target that can take the KV cache in time; among equals the one whose import is free soonest. */
function importRoom (stream: ThreatenedStream, source: Source, rooms: readonly Room[], problem: ReclaimProblem): Room | undefined {
  let best: Room | undefined
  let bestPrice = Infinity
  for (const room of candidates(stream, rooms)) {
    if (room.importMs + importMs(stream, room.target) > usableMs(source)) continue
    const price = directivePrice(stream, { stream: stream.id, action: 'import', target: room.target.id }, problem)
    if (price > bestPrice || (price === bestPrice && room.importMs >= best!.importMs)) continue
    best = room
    bestPrice = price
  }
  return best
}

function resume (stream: ThreatenedStream, rooms: readonly Room[], problem: ReclaimProblem): Directive {
  let best: Room | undefined
  let bestPrice = Infinity
  for (const room of candidates(stream, rooms)) {
    const price = directivePrice(stream, { stream: stream.id, action: 'prefill', target: room.target.id }, problem)
    if (price > bestPrice || (price === bestPrice && room.prefillMs >= best!.prefillMs)) continue
    best = room
    bestPrice = price
  }
  const hold: Directive = { stream: stream.id, action: 'hold' }
  if (!best || directivePrice(stream, hold, problem) < bestPrice) return hold
  reserve(best, stream)
  best.prefillMs += prefillTokens(stream, best.target) * 1000 / best.target.prefillTokensPerS
  return { stream: stream.id, action: 'prefill', target: best.target.id }
}

/** Targets with room: those that hold some of the prompt, then the first few others with room, least busy importers rotating in. */
function * candidates (stream: ThreatenedStream, rooms: readonly Room[]): Generator<Room> {
  let seen = 0
  const offset = rooms.length > TARGETS_PER_STREAM ? (stream.kvTokens * 31 + stream.remainingTokens) % rooms.length : 0
  for (let i = 0; i < rooms.length && seen < TARGETS_PER_STREAM; i++) {
    const room = rooms[(i + offset) % rooms.length]!
    if (!fits(stream, room)) continue
    seen++
    yield room
  }
  if (rooms.length <= TARGETS_PER_STREAM) return
  for (const room of rooms) {
    if (stream.cachedTokens.has(room.target.id) && fits(stream, room)) yield room
  }
}

function fits (stream: ThreatenedStream, room: Room): boolean {
  return room.slots > 0 && room.kv >= stream.kvTokens + stream.remainingTokens
}

function reserve (room: Room, stream: ThreatenedStream): void {
  room.slots--
  room.kv -= stream.kvTokens + stream.remainingTokens
}

function importMs (stream: ThreatenedStream, target: Target): number {
  return stream.kvTokens * 1000 / target.importTokensPerS
}

function byDeadline (streams: Iterable<ThreatenedStream>): ThreatenedStream[] {
  return [...streams].sort((a, b) => a.deadlineInMs - b.deadlineInMs)
}
