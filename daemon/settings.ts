/** Settings of one daemon process, from a JSON file with comments. */
import { z } from 'zod'
import { parseJsonc } from '../core/config/index.ts'
import { readText } from './read_text.ts'

const PORT = z.number().int().min(0).max(65_535)
const ADDRESS = z.string().regex(/^(\d{1,3}\.){3}\d{1,3}$/, 'an IP number')
const URL_WITH_IP = z.string().regex(/^https?:\/\/(\d{1,3}\.){3}\d{1,3}(:\d+)?$/, 'http:// and an IP number')

/** What a daemon is told when it starts. Ports of 0 are chosen by the system. */
export const settingsSchema = z.strictObject({
  name: z.string().regex(/^[a-z0-9][a-z0-9-]{0,40}$/, 'lower-case letters, digits and hyphens'),
  failureDomain: z.string().min(1),
  address: ADDRESS.describe('where this daemon listens and other daemons reach it'),
  ports: z.strictObject({ callers: PORT, operators: PORT, peers: PORT }),
  platform: z.strictObject({ objectApi: URL_WITH_IP, cloudApi: URL_WITH_IP }),
  seeds: z.array(z.string().regex(/^(\d{1,3}\.){3}\d{1,3}:\d+$/, 'IP number and port')).default([]),
  peerSecret: z.string().min(8).describe('shared by all daemons'),
  drainMs: z.number().int().positive().default(25_000).describe('time that the platform gives between SIGTERM and the end'),
  manageFleet: z.boolean().default(false).describe('buy, drain and stop hosts of model pools as the targets ask'),
  limits: z.strictObject({
    openRequests: z.number().int().positive().default(4000),
    bodyBytes: z.number().int().positive().default(1 << 20),
    answerTokens: z.number().int().positive().default(16_384),
    answersKeptMs: z.number().int().positive().default(600_000),
    answersKept: z.number().int().positive().default(5000)
  }).prefault({})
})

/** Validated settings. */
export type Settings = z.infer<typeof settingsSchema>

/**
 * Reads a settings file.
 * @throws {InvalidError} When the file cannot be read or any field is wrong.
 */
export function loadSettings (path: string): Settings {
  return parseJsonc(settingsSchema, readText(path), path)
}
