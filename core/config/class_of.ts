/** Conversion of configured classes. */
import { as } from '../ids/index.ts'
import { isUrgentByDefault, type WorkClass } from '../work/index.ts'
import type { ClassConfig } from './schema.ts'

/**
 * Converts a class of the configuration to the form that the request path uses.
 * @param model True if the pool of the class consists of model engines, whose streams can be resumed.
 */
export function toWorkClass (cls: ClassConfig, model: boolean): WorkClass {
  return {
    name: as(cls.name),
    idempotent: cls.idempotent,
    streaming: model,
    resumable: model,
    cancelOnLeave: cls.cancelOnLeave,
    maxAttempts: Infinity,
    priority: 0,
    urgent: isUrgentByDefault(cls.latency),
    latency: { ...cls.latency, betweenTokensMs: cls.latency.betweenTokensMs },
    delivery: cls.delivery
  }
}
