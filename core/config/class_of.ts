/** From a class as an operator wrote it to the class that the request path works with. */
import { as } from '../ids/index.ts'
import { isShort, type WorkClass } from '../work/index.ts'
import type { ClassConfig } from './schema.ts'

/**
 * Builds the class that the request path works with.
 * @param model True when the class's pool is one of model engines: their streams can be resumed.
 */
export function classOf (cls: ClassConfig, model: boolean): WorkClass {
  return {
    name: as(cls.name),
    idempotent: cls.idempotent,
    streaming: model,
    resumable: model,
    cancelOnLeave: cls.cancelOnLeave,
    maxAttempts: Infinity,
    priority: 0,
    urgent: isShort(cls.latency),
    latency: { ...cls.latency, betweenTokensMs: cls.latency.betweenTokensMs },
    delivery: cls.delivery
  }
}
