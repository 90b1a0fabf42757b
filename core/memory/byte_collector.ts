/** Collects bytes that come in pieces. */

/** Options of {@linkcode ByteCollector}. */
export interface ByteCollectorOptions {
  /** Number of bytes for which memory is taken at once. Default: it is taken as bytes come. */
  expectedBytes?: number | undefined
}

/** Sizes between which blocks grow, in bytes. */
const MIN_BLOCK_BYTES = 1024
const MAX_BLOCK_BYTES = 64 * 1024

/** Copies pieces into blocks, so that what is held does not depend on how small the pieces are, and none of them keeps a larger buffer alive. */
export class ByteCollector {
  readonly #blocks: Buffer[] = []
  /** Number of bytes used of the last block. */
  #used = 0
  #length = 0
  #heldBytes = 0

  constructor ({ expectedBytes = 0 }: ByteCollectorOptions = {}) {
    if (expectedBytes > 0) this.#addBlock(expectedBytes)
  }

  /** Number of bytes collected. */
  get length (): number { return this.#length }
  /** Number of bytes of memory taken. */
  get heldBytes (): number { return this.#heldBytes }

  /** Returns true if the next bytes of a piece would take more memory. */
  needsMemoryFor (piece: Uint8Array): boolean { return piece.length > (this.#blocks.at(-1)?.length ?? 0) - this.#used }

  /** Adds a copy of a piece. */
  push (piece: Uint8Array): void {
    this.#length += piece.length
    for (let from = 0; from < piece.length;) {
      const wanted = piece.length - from
      let block = this.#blocks.at(-1)
      if (!block || this.#used === block.length) block = this.#addBlock(Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, wanted, this.#heldBytes)))
      const count = Math.min(wanted, block.length - this.#used)
      block.set(piece.subarray(from, from + count), this.#used)
      this.#used += count
      from += count
    }
  }

  /** Takes all bytes out. */
  take (): Buffer {
    const last = this.#blocks.pop()
    const rest = last ? last.subarray(0, this.#used) : Buffer.alloc(0)
    // A block that is used in part would be kept whole.
    const isWhole = this.#blocks.length === 0 && rest.length === (last?.length ?? 0)
    const bytes = isWhole ? rest : Buffer.concat([...this.#blocks, rest])
    this.clear()
    return bytes
  }

  /** Discards all bytes. */
  clear (): void {
    this.#blocks.length = 0
    this.#used = 0
    this.#length = 0
    this.#heldBytes = 0
  }

  #addBlock (bytes: number): Buffer {
    // Memory of its own: a small buffer from the runtime's pool would keep the pool's.
    const block = Buffer.allocUnsafeSlow(bytes)
    this.#blocks.push(block)
    this.#used = 0
    this.#heldBytes += bytes
    return block
  }
}
