/** A TCP proxy in front of one server, whose open connections can go silent for good, without a reset, while new ones work. */
import { connect, createServer } from 'node:net'

/** Opens a proxy to an address. */
export async function openLink (address) {
  const [host, port] = address.split(':')
  const pairs = new Set()
  const server = createServer({ allowHalfOpen: true }, (near) => {
    const far = connect({ host, port: Number(port), allowHalfOpen: true })
    const pair = { near, far, isSilent: false }
    pairs.add(pair)
    for (const [from, to] of [[near, far], [far, near]]) {
      from.on('data', (bytes) => { if (!pair.isSilent) to.write(bytes) })
      from.on('end', () => { if (!pair.isSilent) to.end() })
      from.on('error', () => { if (!pair.isSilent) to.resetAndDestroy() })
      from.on('close', () => {
        if (!near.destroyed || !far.destroyed) return
        pairs.delete(pair)
      })
    }
  })
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Open connections that pass bytes. */
    get open () { return [...pairs].filter(({ near, far, isSilent }) => !isSilent && !near.destroyed && !far.destroyed) },
    /** Connections that went silent and that the daemon has not closed. */
    get silent () { return [...pairs].filter(({ near, isSilent }) => isSilent && !near.destroyed && !near.readableEnded) },
    /** Makes every second open connection silent; returns their number. */
    silenceHalf () {
      const chosen = this.open.filter((_, i) => i % 2 === 0)
      for (const pair of chosen) pair.isSilent = true
      return chosen.length
    },
    /** Refuses new connections, as the port of a process that has ended. */
    refuse () { server.close() },
    close () {
      for (const { near, far } of pairs) {
        near.destroy()
        far.destroy()
      }
      server.close()
    }
  }
}
