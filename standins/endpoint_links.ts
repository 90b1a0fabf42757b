/** Network between one daemon and the endpoints, with fault switches. */
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { UnansweredAddress } from './unanswered_address.ts'

/**
 * Fault of a link. `hang`: no bytes pass, and new connections are not answered; bytes that are held are lost if their sender resets the connection. `reset`: connections are reset, and new ones are refused. `refuse`: connections stay, and new ones
 * are refused.
 */
export type LinkFault = 'hang' | 'reset' | 'refuse'

/** Address at which nothing listens. */
const REFUSING_ADDRESS = '127.0.0.1:1'

/** Links of one daemon to the endpoints: a TCP proxy for each of them. */
export class EndpointLinks {
  readonly #links = new Map<string, EndpointLink>()
  readonly #unanswered: UnansweredAddress

  private constructor (unanswered: UnansweredAddress) {
    this.#unanswered = unanswered
  }

  /** Creates the links of a daemon; none exists yet. */
  static async create (): Promise<EndpointLinks> {
    return new EndpointLinks(await UnansweredAddress.open())
  }

  /** Adds the link to an endpoint. */
  async add (address: string): Promise<void> {
    this.#links.set(address, await EndpointLink.open(address))
  }

  /** Returns the address that the daemon connects to for an endpoint's address. */
  addressOf (address: string): string {
    const link = this.#links.get(address)
    if (link?.fault === undefined) return link?.address ?? address
    return link.fault === 'hang' ? this.#unanswered.address : REFUSING_ADDRESS
  }

  /** Starts a fault on the links to the given endpoint addresses. Default: all links. */
  cut (fault: LinkFault, addresses: Iterable<string> = this.#links.keys()): void {
    for (const address of addresses) this.#links.get(address)!.cut(fault)
  }

  /** Refuses new connections to an endpoint from now on, as its address does once its process has ended. */
  refuse (address: string): void {
    this.#links.get(address)?.refuse()
  }

  /** Ends all faults. */
  restore (): void {
    for (const link of this.#links.values()) link.restore()
  }

  async close (): Promise<void> {
    for (const link of this.#links.values()) await link.close()
    await this.#unanswered.close()
  }
}

/** Proxy for the connections to one endpoint. */
class EndpointLink {
  readonly #server: Server
  /** Both sockets of each connection, each with the other one. */
  readonly #sockets = new Map<Socket, Socket>()
  address = ''
  fault: LinkFault | undefined

  private constructor (target: string) {
    const [host, port] = target.split(':')
    this.#server = createServer({ allowHalfOpen: true }, (near) => {
      const far = connect({ host, port: Number(port), allowHalfOpen: true })
      for (const [from, to] of [[near, far], [far, near]] as const) {
        this.#sockets.set(from, to)
        from.on('data', (bytes) => to.write(bytes))
        from.on('end', () => to.end())
        from.on('error', () => to.resetAndDestroy())
        from.on('close', () => {
          this.#sockets.delete(from)
          to.destroy()
        })
        if (this.fault === 'hang') from.pause()
      }
    })
  }

  static async open (target: string): Promise<EndpointLink> {
    const link = new EndpointLink(target)
    await new Promise<void>((resolve) => link.#server.listen(0, '127.0.0.1', resolve))
    link.address = `127.0.0.1:${(link.#server.address() as AddressInfo).port}`
    return link
  }

  cut (fault: LinkFault): void {
    this.fault = fault
    for (const socket of this.#sockets.keys()) {
      if (fault === 'hang') socket.pause()
      if (fault === 'reset') socket.resetAndDestroy()
    }
  }

  refuse (): void {
    this.#server.close()
  }

  restore (): void {
    if (this.fault === 'hang') {
      for (const [socket, peer] of this.#sockets) {
        // Only a socket that was reset has no remote address any more.
        if (socket.remoteAddress !== undefined) socket.resume()
        else peer.resetAndDestroy()
      }
    }
    this.fault = undefined
  }

  async close (): Promise<void> {
    for (const socket of this.#sockets.keys()) socket.destroy()
    await new Promise<void>((resolve) => { this.#server.close(() => resolve()) })
  }
}
