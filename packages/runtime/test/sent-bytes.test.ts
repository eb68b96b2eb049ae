// Guards against a caller that reads slowly and is taken for one that doesn't read, since one large write is under way.
import * as chai from 'chai'
import * as net from 'node:net'
import * as sentBytes from '../src/sent-bytes.js'

const { expect } = chai

const WRITTEN_BYTES = 32 * 1024 * 1024

describe('the bytes that the system has taken of a socket', () => {
  it('grow while a large write is under way, and only then count all of it', async () => {
    const server = net.createServer()
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const accepted = new Promise<net.Socket>((resolve) => { server.once('connection', resolve) })
    const reader = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1').pause()
    const writer = await accepted
    let isDone = false
    writer.write(Buffer.alloc(WRITTEN_BYTES), () => { isDone = true })
    await new Promise<void>((resolve) => { setTimeout(resolve, 50) })
    const before = sentBytes.sentBytes(writer)
    expect([isDone, before < WRITTEN_BYTES]).to.deep.equal([false, true])
    let after = before
    reader.on('data', () => {
      if (after === before && !isDone) after = sentBytes.sentBytes(writer)
    })
    const drained = new Promise<void>((resolve) => { writer.once('drain', resolve) })
    reader.resume()
    await drained
    expect([after > before, after < WRITTEN_BYTES]).to.deep.equal([true, true])
    expect(sentBytes.sentBytes(writer)).to.equal(WRITTEN_BYTES)
    reader.destroy()
    writer.destroy()
    server.close()
  })
})
