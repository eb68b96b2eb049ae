import type * as decisions from '@acaciaweir/decisions'
import type * as http from 'node:http'
import type * as memoryAccount from './memory-account.js'

/** Size of the blocks in which chunks are gathered, in bytes. The HTTP parser makes an object of each chunk, which may be of a byte. */
const BLOCK_BYTES = 64 * 1024

/** Least size of the first block, in bytes. */
const FIRST_BLOCK_BYTES = 4 * 1024

export type BodyResult =
  /** Call `release` when the body is no longer needed. */
  | { kind: 'whole', body: Buffer, release: () => void }
  | { kind: 'too-large' }
  /** The account of memory gave the body up. */
  | { kind: 'given-up' }

/** Returns the announced length of a body, in bytes; undefined if it comes in chunks, 0 if there is none. */
export function announcedBytes (message: http.IncomingMessage): number | undefined {
  if (message.headers['transfer-encoding'] !== undefined) return undefined
  return Number(message.headers['content-length'] ?? 0)
}

/** Reads the body of a request into blocks that are entered in the account of memory. */
export class BodyReader {
  readonly #message: http.IncomingMessage
  readonly #maximumBytes: number
  readonly #clock: decisions.clock.Clock
  readonly #holding: memoryAccount.BodyHolding
  readonly #blocks: Buffer[] = []
  readonly #expectedBytes: number | undefined
  #receivedBytes = 0
  /** Ends a body that has had to wait at the deadline of its request. */
  #waitTimer: NodeJS.Timeout | undefined
  /** Bytes of the last block that are filled. */
  #filledBytes = 0
  #settle: (result: BodyResult | Error) => void = () => {}

  constructor (message: http.IncomingMessage, maximumBytes: number, account: memoryAccount.MemoryAccount, clock: decisions.clock.Clock, deadlineAt: number) {
    this.#message = message
    this.#maximumBytes = maximumBytes
    this.#clock = clock
    this.#expectedBytes = announcedBytes(message)
    this.#holding = account.open({
      pause: () => {
        message.pause()
        this.#waitTimer ??= setTimeout(() => { this.#settle({ kind: 'given-up' }) }, Math.max(0, deadlineAt - clock.now()))
      },
      resume: () => { message.resume() },
      giveUp: () => { this.#settle({ kind: 'given-up' }) }
    })
  }

  /** Reads until the body is whole, too large or given up; nothing reads on after the last two. Rejects if the caller disconnects. */
  read (): Promise<BodyResult> {
    const message = this.#message
    if (message.destroyed && !message.readableEnded) return Promise.reject(new Error('the caller has left'))
    return new Promise((resolve, reject) => {
      const onData = (chunk: Buffer): void => { this.#append(chunk) }
      const onEnd = (): void => { this.#settle(this.#whole()) }
      const onClose = (): void => { this.#settle(new Error('the caller has left')) }
      this.#settle = (result) => {
        this.#settle = () => {}
        clearTimeout(this.#waitTimer)
        message.off('data', onData).off('end', onEnd).off('close', onClose)
        if (!(result instanceof Error) && result.kind === 'whole') {
          resolve(result)
          return
        }
        message.pause()
        this.#blocks.length = 0
        this.#holding.release()
        if (result instanceof Error) reject(result)
        else resolve(result)
      }
      message.on('data', onData).on('end', onEnd).on('close', onClose).on('error', () => {})
    })
  }

  #whole (): BodyResult {
    const whole = this.#blocks.length === 1 ? this.#blocks[0].subarray(0, this.#filledBytes) : Buffer.concat(this.#blocks, this.#receivedBytes)
    this.#blocks.length = 0
    this.#holding.complete()
    return { kind: 'whole', body: whole, release: () => { this.#holding.release() } }
  }

  #append (chunk: Buffer): void {
    this.#receivedBytes += chunk.length
    if (this.#receivedBytes > this.#maximumBytes) {
      this.#settle({ kind: 'too-large' })
      return
    }
    this.#holding.move(this.#clock.now())
    let position = 0
    while (position < chunk.length) {
      const block = this.#blockWithRoom(chunk.length - position)
      const copied = chunk.copy(block, this.#filledBytes, position)
      position += copied
      this.#filledBytes += copied
    }
  }

  #blockWithRoom (wantedBytes: number): Buffer {
    const last = this.#blocks.at(-1)
    if (last !== undefined && this.#filledBytes < last.length) return last
    const expected = this.#expectedBytes === undefined ? Infinity : this.#expectedBytes - this.#holding.bytes
    const size = this.#blocks.length === 0 ? Math.max(FIRST_BLOCK_BYTES, wantedBytes) : BLOCK_BYTES
    const block = Buffer.allocUnsafeSlow(Math.max(1, Math.min(size, expected, BLOCK_BYTES)))
    this.#blocks.push(block)
    this.#filledBytes = 0
    const limit = this.#expectedBytes ?? this.#maximumBytes
    this.#holding.grow(block.length, Math.max(0, limit - this.#holding.bytes - block.length))
    return block
  }
}
