// Generates docs/CAPACITY.md and docs/MEASUREMENTS.md from the benchmark results in docs/figures, each the last line of a benchmark's output.
// Usage: node --import tsx scripts/pages.ts
import { readFileSync, statSync, writeFileSync } from 'node:fs'

type Row = Record<string, unknown>

const size = { daemons: 420, servers: 600, requestsPerS: 2800, tokensPerS: 630_000, changesPerDay: 260, domains: 8, betweenTokensMs: 32, nonIdempotent: 0.1, promptBytes: 8000 }
const limit = { cpuPercent: 1.4, memoryMb: 64, bytesPerS: 2000, storeWrites: 'several hundred', storeReads: 2000 }
const DAY_S = 86_400
const DATE = '2026-12-02'

const readFigures = (name: string) => JSON.parse(readFileSync(new URL(`../docs/figures/${name}.json`, import.meta.url), 'utf8')) as Row
const formatNumber = (value: number, digits = 1) => value.toLocaleString('en-GB', { maximumFractionDigits: digits })

const membership = readFigures('membership').rows as Array<Record<string, number>>
const configChangeRows = readFigures('membership_change').rows as Array<Record<string, number>>
const overhead = readFigures('overhead') as Record<string, Record<string, number>>
const once = readFigures('once').rows as Array<Record<string, number>>
const route = readFigures('route') as { times: Array<Record<string, number>>, usPerEndpoint: number, subsets: Row }
const reclaim = readFigures('reclaim') as { waves: Row[], planning: Record<string, number>, uncoordinated: Row, optimum: Row }
const store = readFigures('store').rows as Row[]
const sweep = readFigures('sweep') as unknown as Sweep

/** Results of one day replayed at several deployment sizes, as printed by the users' benchmark. */
interface Sweep {
  commit: string
  days: Row[]
  slopes: Array<{ what: string, mean: number[], busiest: number[], power: number, at415: number, limit: string, mechanism: string }>
}

/** Extrapolates a figure to `at` nodes by linear regression over the rows with at least 50 nodes. */
function extrapolate (rows: ReadonlyArray<Record<string, number>>, figure: string, at: number): { value: number, slope: number } {
  const points = rows.filter((row) => row.nodes! >= 50).map((row) => ({ x: row.nodes!, y: row[figure]! }))
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / points.length
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / points.length
  const slope = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0) / points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0)
  return { value: meanY + slope * (at - meanX), slope }
}

const perDaemon = { requests: size.requestsPerS / size.daemons, tokens: size.tokensPerS / size.daemons, streams: size.tokensPerS * size.betweenTokensMs / 1000 / size.daemons }
const wireBytesPerS = extrapolate(membership, 'wireBytesPerS', size.daemons)
const cpuPercent = extrapolate(membership, 'cpuPercent', size.daemons)
const factMs = extrapolate(membership, 'factMaxMs', size.daemons)
const configMs = extrapolate(membership, 'configMaxMs', size.daemons)
const changeBytes = extrapolate(configChangeRows, 'configBytesPerNode', size.daemons)
const memoryKb = Math.max(...membership.filter((row) => row.nodes! >= 50).map((row) => row.memoryKb!))
const changeBytesPerS = changeBytes.value * size.changesPerDay / DAY_S
const controlBytes = wireBytesPerS.value + changeBytesPerS
const streamShare = overhead.stream!.coreShareAt3000TokensPerS! * perDaemon.tokens / 3000
const plainShare = overhead.plain!.coreShare! * perDaemon.requests / overhead.plain!.requestsPerS!
const heapMb = overhead.memory!.heapKbPerStream! * perDaemon.streams / 1024
const claimsPerS = size.requestsPerS * size.nonIdempotent
const claimsRow = once.reduce((best, row) => (Math.abs(row.claimsPerS! - claimsPerS) < Math.abs(best.claimsPerS! - claimsPerS) ? row : best))
const watcherCount = 2 * size.domains
const storeCallsPerS = {
  configReads: (size.daemons - watcherCount) / 60 + watcherCount / 25,
  configWatches: watcherCount / 25,
  members: size.daemons / 300,
  sealing: claimsPerS / 256 * 3,
  audit: size.changesPerDay * watcherCount / DAY_S
}
const storeWritesPerS = claimsRow.writesPerS! + storeCallsPerS.members + storeCallsPerS.sealing + storeCallsPerS.audit
const storeReadsPerS = storeCallsPerS.configReads + storeCallsPerS.configWatches + claimsRow.readsPerS!
const crashKnownS = membership.map((row) => row.crashKnownMaxMs! / 1000)
const uncoordinated = reclaim.uncoordinated as Record<string, number>
const largestNodeCount = membership.at(-1)!.nodes!
const reclaimPlan = reclaim.planning
const storeAt420 = store.find((row) => row.daemons === 420 && row.client === 'budgeted')!

const capacity = `# Capacity at the size of two years

Worked out by \`node --import tsx scripts/pages.ts\` from the benches' figures in docs/figures (run on ${DATE}, one machine of 8 cores, stand-ins on loopback). Do not edit
by hand. **Measured** figures name their bench; **worked out** ones follow from them and from the size; **assumed** ones are marked.

Size: ${size.daemons} daemons before ${size.servers} servers; ${formatNumber(size.requestsPerS)} requests and ${formatNumber(size.tokensPerS)} tokens a second at the peak; ${size.changesPerDay} changes of configuration a day; 2 regions with 4 failure domains each.
For each daemon: ${formatNumber(perDaemon.requests)} requests/s, ${formatNumber(perDaemon.tokens)} tokens/s, ${formatNumber(perDaemon.streams, 0)} open streams (at ${size.betweenTokensMs} ms between tokens).

## Control, each daemon (limits: ${limit.cpuPercent}% of a core, ${limit.memoryMb} MB, 2 KB/s)

| what | at ${size.daemons} daemons | slope | from |
|---|---|---|---|
| heartbeats and gossip, bytes/s sent, headers included | ${formatNumber(wireBytesPerS.value, 0)} | ${formatNumber(wireBytesPerS.slope, 2)} a daemon | \`membership\`, 50 to ${largestNodeCount} nodes |
| changes of configuration, bytes/s on average | ${formatNumber(changeBytesPerS, 0)} | ${formatNumber(changeBytes.value / 1000, 0)} kB a change | \`membership --count 100\`, extrapolated |
| **bytes/s in all** | **${formatNumber(controlBytes, 0)}** ${controlBytes <= limit.bytesPerS ? 'within the limit' : '**over the limit**'} | | |
| processor | ${formatNumber(cpuPercent.value, 3)}% of a core | ${formatNumber(cpuPercent.slope * 1000, 3)}% a thousand daemons | \`membership\` |
| memory: links, members, facts | ${formatNumber(memoryKb / 1024, 2)} MB | largest row taken | \`membership\`, resident set of all nodes over their number |
| a fact at all daemons | ${formatNumber(factMs.value, 0)} ms | | \`membership\` |
| a configuration in force at all (limit 7 s) | ${formatNumber(configMs.value, 0)} ms | | \`membership\`, all nodes on one core or two |
| a crash known to all | ${formatNumber(Math.min(...crashKnownS))} to ${formatNumber(Math.max(...crashKnownS))} s | | \`membership\` |

## Roles

| role | state | messages | processor and memory at the size | mechanism |
|---|---|---|---|---|
| callers' streams | answer tokens, prompt | 1 write a token | ${formatNumber(streamShare * 100)}% of a core for ${formatNumber(perDaemon.tokens)} tokens/s; ${formatNumber(heapMb, 2)} MB for ${formatNumber(perDaemon.streams, 0)} streams (${overhead.memory!.heapKbPerStream} KB each) (\`overhead\`) | answer buffer with attempt and offset; writer at the caller's pace |
| plain calls | request, answer kept 10 min | 1 call | ${formatNumber(plainShare * 100, 2)}% of a core for ${formatNumber(perDaemon.requests)} requests/s, all taken as plain (\`overhead\`) | dispatcher, fair queue |
| routing | a view of each endpoint (${size.servers}), subset of 24 | none; load comes with answers | ${route.times.find((row) => row.endpoints === 24)!.target} us a decision over the subset, ${route.times.find((row) => row.endpoints === 600)!.target} us over 600 (\`route\`) | rendezvous subset, best of a few at random |
| reclaim planner | streams on leaving endpoints | orders to engines | ${reclaimPlan.medianMs} ms for ${formatNumber(reclaimPlan.streams!)} streams; a daemon has ${formatNumber(perDaemon.streams, 0)} (\`reclaim\`) | knapsack for each source, bounded local search |
| claims (8 daemons write one shard each) | ${formatNumber(claimsPerS * 3600 / 8)} claims a shard for an hour, about 200 B each: ${formatNumber(claimsPerS * 3600 / 8 * 200 / 1e6)} MB (worked out, size of a claim assumed) | 1 call to the shard's writer | ${claimsRow.writesPerS} store writes/s for the fleet at ${claimsRow.claimsPerS} claims/s; ${claimsRow.addedMsP50} ms added (\`once\`) | head object replaced under its version |
| standby for another daemon | prompts and places of its streams, ${formatNumber(perDaemon.streams * size.promptBytes / 1e6, 2)} MB | ${formatNumber(perDaemon.requests)} records/s, ${formatNumber(perDaemon.requests * size.promptBytes / 1000, 0)} kB/s (prompts of ${formatNumber(size.promptBytes)} B assumed); request data, not control | not measured | heir by rendezvous in another domain |
| membership, configuration, facts | ${size.daemons} records | see above | see above | three rings of neighbours, gossip, digests |

## The store (several hundred writes and ${formatNumber(limit.storeReads)} reads a second for the fleet)

| use | writes/s | reads/s | mechanism |
|---|---|---|---|
| claims | ${formatNumber(claimsRow.writesPerS! + storeCallsPerS.sealing)} | ${claimsRow.readsPerS} | group commit, ${formatNumber(claimsPerS, 0)} claims/s; sealing worked out |
| configuration | ${formatNumber(size.changesPerDay / DAY_S, 3)} | ${formatNumber(storeCallsPerS.configReads + storeCallsPerS.configWatches)} | ${watcherCount} daemons watch (${watcherCount} waiting watches), the others poll each minute |
| members | ${formatNumber(storeCallsPerS.members)} | at joins | registration each five minutes |
| audit | ${formatNumber(storeCallsPerS.audit, 2)} | on request | |
| **in all** | **${formatNumber(storeWritesPerS)}** | **${formatNumber(storeReadsPerS)}** | |

After an outage the fleet's peak is ${storeAt420.peakPerSAfter} calls/s (\`store\`, 420 daemons; ${formatNumber(store.find((row) => row.daemons === 420 && row.client === 'naive')!.peakPerSAfter as number)} with a plain retry); during one ${storeAt420.meanPerSDuring} calls/s in the mean, ${storeAt420.peakPerSDuring} at the most.

## On the platform, by replay

One day of the users' large deployment played at three sizes (the sweep of their bench, commit ${sweep.commit}); the last column but two carries on how the **busiest** daemon grows, and is not played. 300 machines were not played: they would take
three quarters of this machine's memory. No scale run of our own stands beside it.

${formatTable(sweep.days)}

| figure | mean at 10, 30, 100 machines | busiest | grows as machines to the power of | worked out at 415 | limit | mechanism |
|---|---|---|---|---|---|---|
${sweep.slopes.map(({ what, mean, busiest, power, at415, limit: most, mechanism }) => `| ${what} | ${mean.join(', ')} | ${busiest.join(', ')} | ${power} | ${formatNumber(at415)} | ${most} | ${mechanism} |`).join('\n')}

**Not within its limit**: control bytes of the busiest daemon (2 kB a second are meant; callers' bytes are in the figures above, and the growth is the keeper's). See [scale](design/scale.md).

## What breaks first beyond this size

1. **Bytes of control** grow with the number of daemons by heartbeats' table exchanges and by each change of configuration being acknowledged in every
   daemon's record: ${formatNumber(changeBytes.value / 1000, 0)} kB a change. Counting by sample, or along a tree, comes next.
2. **The cloud API**: the fleet reads the host list 20 times a second (each daemon each ${formatNumber(2 * size.daemons / 40)} s, worked out), and each daemon waits for notices, ${formatNumber(size.daemons / 20)} calls/s. The letter
   names no limit for it; few daemons that wait and tell the others would do, as for the configuration.
3. **Claims** write at most ${formatNumber(8000 / (readFigures('once').commitIntervalMs as number), 0)} times a second whatever the load, and their sealing grows with it; a head grows with the claims of a commit interval, and the latency with the interval.
4. **A lease** is read by every contender each 5 s; three contend for each pool's, 0.4 reads and 0.2 writes a second for each pool (worked out).
5. **A wave of a domain** planned by daemons that do not know of each other: ${formatNumber((uncoordinated.recomputed! / uncoordinated.onePlanner! - 1) * 100, 0)}% more recomputed tokens at 2 s of notice (docs/design/reclaim.md).

## Not measured

400 nodes and more in one process (they did not join in 120 s; each node has a host of its own in truth); regions parted for minutes at this size; standby traffic;
memory of the claim table; TLS between daemons, which is not built.
`

function formatTable (rows: readonly Row[]): string {
  const columns = Object.keys(rows[0]!)
  const cell = (value: unknown) => (typeof value === 'object' ? JSON.stringify(value) : String(value))
  return [`| ${columns.join(' | ')} |`, `|${columns.map(() => '---').join('|')}|`, ...rows.map((row) => `| ${columns.map((column) => cell(row[column])).join(' | ')} |`)].join('\n')
}

const sections: Array<[string, string, Row[][]]> = [
  ['overhead', 'What one daemon adds, against calling the stand-in endpoint directly. Stand-ins and load run on other threads of the same machine.', [[{ ...overhead.plain }], [{ ...overhead.saturated }], [{ ...overhead.stream }], [{ ...overhead.memory }]]],
  ['reclaim', 'Recomputed tokens and late requests of a wave. Engines assumed: 12,000 tokens/s prefill, 28 ms between tokens, 64 slots half full, half of the streams long (prompts of 2,000 to 8,000 tokens), 30% with a prefix cached at one target.', [reclaim.waves, [reclaim.optimum], [reclaim.planning], [reclaim.uncoordinated]]],
  ['once', 'Claims on idempotency keys; the stand-in store takes 5 ms.', [once]],
  ['membership', 'Small nodes in one process on loopback. Wire bytes count headers (112 B a message). memoryKb at 9 nodes is noise.', [membership, configChangeRows, readFigures('membership').detectors as Row[]]],
  ['route', 'Time of a decision in microseconds; herding on reports that lag.', [route.times, readFigures('route').herding as Row[]]],
  ['limits', 'One account at ten times its share; load in capacities.', [readFigures('limits').shares as Row[], readFigures('limits').goodput as Row[]]],
  ['cost', 'Means of five seeded days.', [readFigures('cost').rows as Row[]]],
  ['wave', 'One session of 400 requests: a domain reclaimed with 2 s of notice, another lost without, the store down for 8 s; beside it the same without faults. Attempts are all that began, taken those that an endpoint took.', [readFigures('wave').rows as Row[]]],
  ['store', 'Calls on the store around an outage of 8 s.', [store]]
]

const replayNotes = ['platform', 'large', 'schedules'].map((name) => readFileSync(new URL(`../docs/figures/${name}.md`, import.meta.url), 'utf8')).join('\n')
const measurements = `# Measurements

Written by \`node --import tsx scripts/pages.ts\` from docs/figures; each file there is the last line of \`npm run -s bench -- NAME\` at seed 1. Run on ${DATE}, one machine of 8
cores. Baselines are our own: earlier versions, naive twins, direct calls.

${replayNotes}
${sections.map(([name, about, tables]) => `## ${name}\n\n${about} \`npm run bench -- ${name}\`, file of ${statSync(new URL(`../docs/figures/${name}.json`, import.meta.url)).size} bytes.\n\n${tables.map(formatTable).join('\n\n')}\n`).join('\n')}`

writeFileSync(new URL('../docs/CAPACITY.md', import.meta.url), capacity)
writeFileSync(new URL('../docs/MEASUREMENTS.md', import.meta.url), measurements)
