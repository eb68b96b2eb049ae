import type * as http from 'node:http'
import * as blockPools from './block-pool.js'

const { BLOCK_BYTES, POOLED_BYTES, processPool } = blockPools

/** Least size of the first block, in bytes. A body may stand still after its first byte, so its announced length is not set aside. */
const FIRST_BLOCK_BYTES = 4 * 1024

/**
 * Bytes that arrive in chunks and are gathered in blocks, since a chunk may be of a byte and costs an object each. They are sent on
 * block by block: joining them would take their size once more.
 */
export class ByteBlocks {
  readonly #expectedBytes: number | undefined
  readonly #pool: blockPools.BlockPool
  #blocks: Buffer[] = []
  #pooled: Buffer[] = []
  /** Bytes of the last block that are filled. */
  #filledBytes = 0
  #length = 0
  #occupiedBytes = 0
  /** Messages that may still send blocks. */
  readonly #openMessages = new Set<http.OutgoingMessage>()
  #isReleased = false

  /** `expectedBytes` is the announced length, undefined if it is not known. */
  constructor (expectedBytes: number | undefined, pool: blockPools.BlockPool = processPool) {
    this.#expectedBytes = expectedBytes
    this.#pool = pool
  }

  get length (): number {
    return this.#length
  }

  /** Memory of the blocks, also where they are not filled. */
  get occupiedBytes (): number {
    return this.#occupiedBytes
  }

  /** The bytes in order, without the unfilled part of the last block. */
  get blocks (): Buffer[] {
    return this.#blocks.map((block, index) => index === this.#blocks.length - 1 ? block.subarray(0, this.#filledBytes) : block)
  }

  append (chunk: Buffer): void {
    this.#length += chunk.length
    if (this.#blocks.length === 0 && chunk.length === this.#expectedBytes) {
      this.#add(chunk)
      this.#filledBytes = chunk.length
      return
    }
    let position = 0
    while (position < chunk.length) {
      const copied = chunk.copy(this.#blockWithRoom(chunk.length - position), this.#filledBytes, position)
      position += copied
      this.#filledBytes += copied
    }
  }

  /** Ends a message with the bytes as its body. */
  endMessage (message: http.OutgoingMessage): void {
    this.#openMessages.add(message)
    message.once('close', () => { this.endSending(message) })
    const blocks = this.blocks
    const last = blocks.pop()
    for (const block of blocks) message.write(block)
    message.end(last)
  }

  /** Tells that a message sends no more, where it emits no `close`. */
  endSending (message: http.OutgoingMessage): void {
    if (this.#openMessages.delete(message)) this.#returnBlocks()
  }

  /** Lets the bytes go. Their blocks are used again once the messages that send them have closed; those of a message that never closes are not. */
  release (): void {
    this.#isReleased = true
    this.#returnBlocks()
  }

  #returnBlocks (): void {
    if (!this.#isReleased || this.#openMessages.size > 0) return
    this.#pool.give(this.#pooled)
    this.#pooled = []
    this.#blocks = []
    this.#length = 0
    this.#occupiedBytes = 0
  }

  #blockWithRoom (wantedBytes: number): Buffer {
    const last = this.#blocks.at(-1)
    if (last !== undefined && this.#filledBytes < last.length) return last
    const expectedBytes = this.#expectedBytes === undefined ? Infinity : this.#expectedBytes - this.#occupiedBytes
    const leastBytes = this.#blocks.length > 0 ? BLOCK_BYTES : Math.max(FIRST_BLOCK_BYTES, wantedBytes)
    const bytes = Math.min(leastBytes, expectedBytes)
    const block = bytes >= POOLED_BYTES ? this.#pool.take() : Buffer.allocUnsafeSlow(bytes)
    if (bytes >= POOLED_BYTES) this.#pooled.push(block)
    this.#add(block)
    this.#filledBytes = 0
    return block
  }

  #add (block: Buffer): void {
    this.#blocks.push(block)
    this.#occupiedBytes += block.length
  }
}
