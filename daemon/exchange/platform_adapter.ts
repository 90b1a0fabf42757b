/** Interface between the proxy daemon and a platform. An adapter translates formats and protocols; it makes no decisions. */
import type { Catalog } from '../../core/catalog/index.ts'
import type { Duties, ExchangeDialect, KvMover } from '../../endpoints/index.ts'
import type { ObjectStore } from '../../store/index.ts'
import type { RolloutPort } from '../rollout/index.ts'
import type { ListedEndpoint } from '../endpoints/endpoint_listing.ts'

/** Services, keys and decoders of one platform. */
export interface PlatformAdapter {
  store: ObjectStore
  duties: Duties
  dialect: ExchangeDialect
  /** Key of the object that holds the configuration. */
  configKey: string
  /** Prefix of the keys under which endpoints register themselves. */
  registryPrefix: string
  /** Creates the client through which KV caches move; `addressOf` returns the IP address and port to connect to for an endpoint's address. */
  kvMover (options: { addressOf (address: string): string }): KvMover
  /** Reads rollout orders and records their progress. */
  rollouts: RolloutPort
  /** Throws {@linkcode InvalidError} if the value is not a valid configuration. */
  decodeCatalog (value: unknown): Catalog
  /** Throws {@linkcode InvalidError} if the value is not a valid endpoint entry. */
  decodeEndpoint (name: string, value: unknown): ListedEndpoint
}
