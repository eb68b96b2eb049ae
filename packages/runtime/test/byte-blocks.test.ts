// Guards against memory that is used again while a message still sends it, and against bytes that are lost or mixed between blocks.
import * as chai from 'chai'
import * as events from 'node:events'
import type * as http from 'node:http'
import * as blockPools from '../src/block-pool.js'
import * as byteBlocks from '../src/byte-blocks.js'

const { expect } = chai
const { BLOCK_BYTES } = blockPools

/** A message that keeps what it is given and sends it later. */
class LaterMessage extends events.EventEmitter {
  readonly written: Buffer[] = []
  write (block: Buffer): void { this.written.push(block) }
  end (block?: Buffer): void { if (block !== undefined) this.written.push(block) }
  get asMessage (): http.OutgoingMessage { return this as unknown as http.OutgoingMessage }
}

describe('bytes gathered in blocks', () => {
  let pool: blockPools.BlockPool

  beforeEach(() => { pool = new blockPools.BlockPool() })

  function gathered (bytes: number, expected: number | undefined, chunkBytes: number): byteBlocks.ByteBlocks {
    const body = new byteBlocks.ByteBlocks(expected, pool)
    for (let position = 0; position < bytes; position += chunkBytes) body.append(Buffer.alloc(Math.min(chunkBytes, bytes - position), String(position % 7)))
    return body
  }

  const bodies: Array<{ name: string, bytes: number, expected: number | undefined, chunkBytes: number, atMostOccupied: number }> = [
    { name: 'one chunk of the announced length', bytes: 300, expected: 300, chunkBytes: 300, atMostOccupied: 300 },
    { name: 'small chunks of a short body', bytes: 1000, expected: 1000, chunkBytes: 3, atMostOccupied: 1000 },
    { name: 'small chunks of unknown length', bytes: 1000, expected: undefined, chunkBytes: 3, atMostOccupied: 4096 },
    { name: 'chunks that cross blocks', bytes: 200_000, expected: undefined, chunkBytes: 1111, atMostOccupied: 4 * BLOCK_BYTES + 4096 },
    { name: 'a long announced body', bytes: 200_000, expected: 200_000, chunkBytes: 50_000, atMostOccupied: 4 * BLOCK_BYTES + 4096 },
    { name: 'the first byte of an ordinary body', bytes: 1, expected: 65_535, chunkBytes: 1, atMostOccupied: 4096 },
    { name: 'no bytes', bytes: 0, expected: 0, chunkBytes: 1, atMostOccupied: 0 }
  ]
  for (const { name, bytes, expected, chunkBytes, atMostOccupied } of bodies) {
    it(`are whole and in order: ${name}`, () => {
      const message = new LaterMessage()
      const body = gathered(bytes, expected, chunkBytes)
      expect(body.length).to.equal(bytes)
      expect(body.occupiedBytes).to.be.at.most(atMostOccupied)
      body.endMessage(message.asMessage)
      const sent = Buffer.concat(message.written)
      expect(sent.length).to.equal(bytes)
      expect(sent.every((byte, position) => byte === 48 + (position - position % chunkBytes) % 7)).to.equal(true)
    })
  }

  it('are used again only when all messages that send them have closed', () => {
    const [first, second] = [new LaterMessage(), new LaterMessage()]
    const body = gathered(2 * BLOCK_BYTES, 2 * BLOCK_BYTES, BLOCK_BYTES)
    body.endMessage(first.asMessage)
    body.endMessage(second.asMessage)
    first.emit('close')
    body.release()
    expect(pool.freeBytes).to.equal(0)
    body.endSending(second.asMessage)
    expect(pool.freeBytes).to.equal(2 * BLOCK_BYTES)
    second.emit('close')
    body.release()
    expect(pool.freeBytes).to.equal(2 * BLOCK_BYTES)
  })

  it('are not used again while they are held, also where their message has closed', () => {
    const message = new LaterMessage()
    const body = gathered(BLOCK_BYTES, BLOCK_BYTES, 1000)
    body.endMessage(message.asMessage)
    message.emit('close')
    expect(pool.freeBytes).to.equal(0)
    expect(body.length).to.equal(BLOCK_BYTES)
  })

  it('leave the process when nobody uses them', async () => {
    gathered(4 * BLOCK_BYTES, 4 * BLOCK_BYTES, BLOCK_BYTES).release()
    await new Promise((resolve) => { setTimeout(resolve, 3500) })
    expect(pool.freeBytes).to.equal(0)
  }).timeout(10_000)
})
