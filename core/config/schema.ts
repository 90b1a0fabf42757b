/** Schema of the shared configuration: classes with their targets, pools, accounts and operators. It contains no weights and no addresses. */
import { z } from 'zod'

const NAME = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens')
const SHA256 = z.string().regex(/^[0-9a-f]{64}$/, 'SHA-256 of the credential, 64 hex digits')

const classSchema = z.strictObject({
  name: NAME,
  pool: NAME.describe('endpoints that serve the class'),
  idempotent: z.boolean(),
  cancelOnLeave: z.boolean().default(false).describe('stop the work when the caller disconnects'),
  latency: z.strictObject({
    firstTokenMs: z.number().int().positive(),
    betweenTokensMs: z.number().positive().optional(),
    deadlineMs: z.number().int().positive().describe('whole answer, from acceptance')
  }),
  delivery: z.number().min(0.5).max(1).describe('fraction of accepted requests to answer by the deadline')
})

const poolSchema = z.strictObject({
  name: NAME,
  kind: z.enum(['model', 'service']),
  checksFencing: z.boolean().describe('endpoints refuse an order with an old fencing number')
})

const accountSchema = z.strictObject({ name: NAME, credentialSha256: SHA256, classes: z.array(NAME).min(1) })
const operatorSchema = z.strictObject({ name: NAME, credentialSha256: SHA256 })

/** Schema of the shared configuration, including the checks for unique names and valid references. */
export const configSchema = z.strictObject({
  deployment: NAME,
  wantsLeast: z.enum(['cost', 'recomputed-work']).describe('the outcome the deployment wants least of'),
  classes: z.array(classSchema).min(1),
  pools: z.array(poolSchema).min(1),
  accounts: z.array(accountSchema).min(1),
  operators: z.array(operatorSchema).min(1)
}).superRefine((cfg, ctx) => {
  checkUnique(cfg, ctx)
  checkReferences(cfg, ctx)
})

/** A validated configuration. */
export type Config = z.infer<typeof configSchema>
/** A class within a configuration. */
export type ClassConfig = Config['classes'][number]
/** A pool of endpoints within a configuration. */
export type PoolConfig = Config['pools'][number]

type ValidationContext = z.RefinementCtx

function checkUnique (cfg: Config, ctx: ValidationContext): void {
  for (const field of ['classes', 'pools', 'accounts', 'operators'] as const) {
    const seen = new Set<string>()
    cfg[field].forEach(({ name }, i) => {
      if (seen.has(name)) ctx.addIssue({ code: 'custom', path: [field, i, 'name'], message: `expected a unique name, found "${name}" again` })
      seen.add(name)
    })
  }
}

function checkReferences (cfg: Config, ctx: ValidationContext): void {
  const pools = new Set(cfg.pools.map((pool) => pool.name))
  const classes = new Set(cfg.classes.map((cls) => cls.name))
  cfg.classes.forEach((cls, i) => {
    if (!pools.has(cls.pool)) ctx.addIssue({ code: 'custom', path: ['classes', i, 'pool'], message: `expected a pool of this configuration, found "${cls.pool}"` })
  })
  cfg.accounts.forEach((account, i) => account.classes.forEach((name, j) => {
    if (!classes.has(name)) ctx.addIssue({ code: 'custom', path: ['accounts', i, 'classes', j], message: `expected a class of this configuration, found "${name}"` })
  }))
}
