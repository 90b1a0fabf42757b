/** What an operator sees of one daemon. */
import type { ClassConfig } from '../core/config/index.ts'
import type { DaemonId } from '../core/ids/index.ts'
import { steadyNow } from '../core/time/index.ts'
import type { Broker } from './request/broker.ts'
import type { ConfigTask } from './config/config_task.ts'
import type { Dispatcher } from './request/dispatcher.ts'
import type { EndpointTable } from './endpoints/endpoint_table.ts'
import type { MembershipTask } from './peers/membership_task.ts'
import type { Metrics } from './metrics.ts'

/** One class of work, in words. */
export interface ClassStatus { name: string, target: string, met: boolean | undefined, why: string }

/** The whole report. */
export interface StatusReport {
  daemon: DaemonId
  state: string
  revision: number
  /** False when a newer revision may exist that this daemon cannot know of. */
  revisionSure: boolean
  open: number
  queued: number
  members: Record<string, number>
  endpoints: { live: number, leaving: number, ejected: number }
  classes: ClassStatus[]
}

/** What a report is made of. */
export interface StatusSources {
  self: DaemonId
  broker: Broker
  config: ConfigTask
  dispatcher: Dispatcher
  table: EndpointTable
  membership: MembershipTask
  metrics: Metrics
}

const QUANTILE = 0.95

/** Builds the report. */
export async function classStatuses (sources: StatusSources): Promise<ClassStatus[]> {
  const classes = sources.config.inForce?.config.classes ?? []
  return await Promise.all(classes.map((cls) => classStatus(cls, sources)))
}

/** Builds the report of one daemon, but for its classes. */
export function statusOf (sources: StatusSources, classes: ClassStatus[]): StatusReport {
  const now = steadyNow()
  const views = sources.table.all
  return {
    daemon: sources.self,
    state: sources.membership.core.self.state,
    revision: sources.config.inForce?.revision ?? 0,
    revisionSure: sources.config.sure,
    open: sources.broker.openCount,
    queued: sources.dispatcher.queued,
    members: countBy(sources.membership.core.members.map((member) => member.state)),
    endpoints: {
      live: views.filter((view) => view.leavingAtMs === undefined).length,
      leaving: views.filter((view) => view.leavingAtMs !== undefined).length,
      ejected: views.filter((view) => view.ejectedUntilMs > now).length
    },
    classes
  }
}

async function classStatus (cls: ClassConfig, sources: StatusSources): Promise<ClassStatus> {
  const target = `first token within ${cls.latency.firstTokenMs} ms for 95 in 100, ${cls.delivery * 100} in 100 answered within ${cls.latency.deadlineMs} ms`
  const counts = (await sources.metrics.requests.get()).values.filter(({ labels }) => labels.class === cls.name && labels.outcome !== 'repeated')
  const total = counts.reduce((sum, { value }) => sum + value, 0)
  if (total === 0) return { name: cls.name, target, met: undefined, why: 'no request has finished here' }
  const answered = counts.find(({ labels }) => labels.outcome === 'answered')?.value ?? 0
  const bound = quantileBound(await sources.metrics.firstToken.get(), cls.name)
  const reasons = [
    ...(answered / total < cls.delivery ? [`${total - answered} of ${total} were not answered`] : []),
    ...(bound > cls.latency.firstTokenMs ? [`first token within ${bound} ms for 95 in 100`] : [])
  ]
  return { name: cls.name, target, met: reasons.length === 0, why: reasons.join('; ') || `${answered} of ${total} answered, first token within ${bound} ms for 95 in 100` }
}

/** Upper bound of the bucket that holds the quantile. */
function quantileBound (histogram: { values: Array<{ labels: object, value: number, metricName?: string }> }, cls: string): number {
  const buckets = histogram.values.filter(({ metricName, labels }) => metricName?.endsWith('_bucket') && (labels as { class?: string }).class === cls)
  const total = Math.max(0, ...buckets.map(({ value }) => value))
  const found = buckets.find(({ value }) => value >= total * QUANTILE)
  return Number((found?.labels as { le?: string | number } | undefined)?.le ?? 0)
}

function countBy (items: readonly string[]): Record<string, number> {
  const counts: Record<string, number> = {}
  for (const item of items) counts[item] = (counts[item] ?? 0) + 1
  return counts
}
