/** How long one watch of the store may wait. */

/**
 * Shortest wait, in milliseconds. With the time that an answer may take, a connection that carries nothing any more shows within three seconds: news is
 * promised soon after that.
 */
const LEAST_WAIT_MS = 2000
/** Longest wait, in milliseconds: a large fleet's daemons hear of changes from each other, too. */
const LONGEST_WAIT_MS = 10_000
/** Watches of one kind that a whole fleet begins in a second while nothing changes; each is a call that the store counts. */
const FLEET_PER_S = 4.5

/**
 * Chooses the wait of the next watch.
 *
 * Guards against deafness: a watch on a silent connection hears nothing until it is given up, and after each change the watches of all daemons begin at
 * the same moment. Small fleets wait for two seconds; in large ones waits differ, so that some daemon has always just asked.
 * @param daemons How many daemons watch.
 * @param random Seeded random source in [0, 1).
 * @returns Milliseconds.
 * @example `watchWaitMs(9, Math.random)` gives 2000.
 */
export function watchWaitMs (daemons: number, random: () => number): number {
  const longest = Math.min(LONGEST_WAIT_MS, Math.max(LEAST_WAIT_MS, daemons * 1000 / FLEET_PER_S))
  return Math.round(LEAST_WAIT_MS + random() * (longest - LEAST_WAIT_MS))
}
