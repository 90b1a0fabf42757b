/** Merges what is known of a rollout when the store has returned to a copy that lacks its latest progress. */
import { isLater } from '../store_version/index.ts'
import { currentProgress, isSameOrder, type RolloutProgress, type RolloutRecord, type RolloutStage } from './rollout.ts'

/** Stages by how far they are; a verdict is final, whichever it is. */
const STAGE_RANKS: Record<RolloutStage, number> = { preparing: 0, canary: 1, switching: 2, emptying: 3, completed: 4, 'rolled-back': 4 }

/**
 * Merges two records of a pool that were read in different eras of the store.
 *
 * The order is that of the later record, unless it is another than the known one and has progress of its own: then the known one replaced it after the copy was
 * taken. The progress is the furthest of both, so that a verdict stays and what was granted stays counted.
 * @param known The record that this daemon has.
 * @returns `known` itself if nothing changes.
 */
export function mergeRecords (known: RolloutRecord, found: RolloutRecord): RolloutRecord {
  const newer = isLater(found.version, known.version) ? found : known
  const older = newer === found ? known : found
  if (newer === found && !isSameOrder(known.order, found.order) && currentProgress(found)) return known
  const stored = currentProgress(newer)
  const remembered = currentProgress({ ...newer, progress: older.progress })
  if (!remembered) return newer
  const progress = stored ? furthest(remembered, stored) : remembered
  return progress === stored ? newer : { ...newer, progress, unsaved: true }
}

/** Returns the progress that is further; of two verdicts, or of two starts of the same order, the first. */
function furthest (remembered: RolloutProgress, stored: RolloutProgress): RolloutProgress {
  if (remembered.orderedAtMs !== stored.orderedAtMs) return remembered.orderedAtMs < stored.orderedAtMs ? remembered : stored
  const ahead = STAGE_RANKS[remembered.stage] - STAGE_RANKS[stored.stage]
  if (ahead !== 0) return ahead > 0 ? remembered : stored
  return remembered.granted > stored.granted || remembered.stage !== stored.stage ? remembered : stored
}
