import type * as http from 'node:http'

/** Size of a block, in bytes. */
export const BLOCK_BYTES = 64 * 1024

/** Size from which bytes get a block, in bytes. */
export const POOLED_BYTES = BLOCK_BYTES / 2

/** Interval at which blocks that nobody has used are let go, in milliseconds. */
const TRIM_INTERVAL_MS = 1000

/**
 * Blocks of memory that are used again. The engine frees a large buffer that has lived for a while only once tens of megabytes of them
 * have gathered, which a small host does not have.
 */
export class BlockPool {
  readonly #free: Buffer[] = []
  /** Fewest free blocks since the last trim. */
  #fewestFree = 0
  #timer: NodeJS.Timeout | undefined

  get freeBytes (): number {
    return this.#free.length * BLOCK_BYTES
  }

  /** Returns a block with undefined content. */
  take (): Buffer {
    const block = this.#free.pop()
    this.#fewestFree = Math.min(this.#fewestFree, this.#free.length)
    return block ?? Buffer.allocUnsafeSlow(BLOCK_BYTES)
  }

  /** Takes back blocks to which nothing refers any more. */
  give (blocks: readonly Buffer[]): void {
    this.#free.push(...blocks)
    if (this.#timer !== undefined || this.#free.length === 0) return
    this.#fewestFree = this.#free.length
    this.#timer = setInterval(() => { this.#trim() }, TRIM_INTERVAL_MS)
    this.#timer.unref()
  }

  /** Writes bytes to a message through blocks, of which `onSent` tells each that has been sent. Returns false if the message wants no more for now. */
  write (message: http.OutgoingMessage, bytes: Buffer, onSent: () => void): boolean {
    if (bytes.length < POOLED_BYTES) return message.write(bytes, onSent)
    let hasRoom = true
    for (let position = 0; position < bytes.length; position += BLOCK_BYTES) {
      const block = this.take()
      let isUsed = true
      const copied = bytes.copy(block, 0, position)
      hasRoom = message.write(block.subarray(0, copied), () => {
        if (isUsed) this.give([block])
        isUsed = false
        onSent()
      })
    }
    return hasRoom
  }

  #trim (): void {
    this.#free.length -= Math.ceil(this.#fewestFree / 2)
    this.#fewestFree = this.#free.length
    if (this.#free.length > 0) return
    clearInterval(this.#timer)
    this.#timer = undefined
  }
}

/** The blocks of this process. */
export const processPool = new BlockPool()
