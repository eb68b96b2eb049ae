import type * as decisions from '@acaciaweir/decisions'
import type * as http from 'node:http'
import * as byteBlocks from './byte-blocks.js'
import type * as memoryAccount from './memory-account.js'

export type BodyResult =
  /** Call `release` when the body is no longer needed. */
  | { kind: 'whole', body: byteBlocks.ByteBlocks, release: () => void }
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
  readonly #body: byteBlocks.ByteBlocks
  readonly #expectedBytes: number | undefined
  /** Ends a body that has had to wait at the deadline of its request. */
  #waitTimer: NodeJS.Timeout | undefined
  #settle: (result: BodyResult | Error) => void = () => {}

  constructor (message: http.IncomingMessage, maximumBytes: number, account: memoryAccount.MemoryAccount, clock: decisions.clock.Clock, deadlineAt: number) {
    this.#message = message
    this.#maximumBytes = maximumBytes
    this.#clock = clock
    this.#expectedBytes = announcedBytes(message)
    this.#body = new byteBlocks.ByteBlocks(this.#expectedBytes)
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
        this.#release()
        if (result instanceof Error) reject(result)
        else resolve(result)
      }
      message.on('data', onData).on('end', onEnd).on('close', onClose).on('error', () => {})
    })
  }

  #whole (): BodyResult {
    this.#holding.complete()
    return { kind: 'whole', body: this.#body, release: () => { this.#release() } }
  }

  #release (): void {
    this.#body.release()
    this.#holding.release()
  }

  #append (chunk: Buffer): void {
    if (this.#body.length + chunk.length > this.#maximumBytes) {
      this.#settle({ kind: 'too-large' })
      return
    }
    this.#holding.move(this.#clock.now())
    this.#body.append(chunk)
    const addedBytes = this.#body.occupiedBytes - this.#holding.bytes
    if (addedBytes === 0) return
    const limit = this.#expectedBytes ?? this.#maximumBytes
    this.#holding.grow(addedBytes, Math.max(0, limit - this.#body.occupiedBytes))
  }
}
