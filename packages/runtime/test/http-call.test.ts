// Guards against accepting a truncated response as complete. A response without a length ends with its connection, so a
// reset can look like its regular end, in particular when the last bytes and the reset arrive together.
import * as chai from 'chai'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as httpCall from '../src/http-call.js'

const { expect } = chai

/** Runs an action against a server whose responses are written directly to the socket. */
async function withServer<Result> (respond: (socket: net.Socket) => void, action: (url: string) => Promise<Result>): Promise<Result> {
  const server = http.createServer((message) => { respond(message.socket) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  try {
    return await action(`http://127.0.0.1:${port}/`)
  } finally {
    server.close()
    server.closeAllConnections()
  }
}

const STATUS_LINE = 'HTTP/1.1 200 OK\r\n'
const FILLER = Buffer.alloc(65_536, 'x')

const cases: Array<{ title: string, respond: (socket: net.Socket) => void, isComplete: boolean }> = [
  { title: 'returns the body of a response with a Content-Length', respond: (socket) => { socket.end(`${STATUS_LINE}Content-Length: 4\r\n\r\nbody`) }, isComplete: true },
  { title: 'returns the body of a response that ends with its connection', respond: (socket) => { socket.end(`${STATUS_LINE}\r\nbody`) }, isComplete: true },
  { title: 'rejects a response shorter than its Content-Length', respond: (socket) => { socket.end(`${STATUS_LINE}Content-Length: 9\r\n\r\nbody`) }, isComplete: false },
  { title: 'rejects a chunked response without its last chunk', respond: (socket) => { socket.end(`${STATUS_LINE}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n`) }, isComplete: false },
  {
    title: 'rejects a response without a length if its connection is reset',
    respond: (socket) => { socket.write(`${STATUS_LINE}\r\nbo`, () => { setTimeout(() => { socket.resetAndDestroy() }, 50) }) },
    isComplete: false
  },
  {
    title: 'rejects a response without a length if its last bytes arrive together with a reset',
    respond: (socket) => { socket.write(`${STATUS_LINE}\r\nbo`, () => { socket.resetAndDestroy() }) },
    isComplete: false
  },
  {
    title: 'rejects a response that does not end',
    respond: (socket) => {
      socket.write(`${STATUS_LINE}\r\n`)
      const sendMore = (): void => { while (!socket.destroyed && socket.write(FILLER)); }
      socket.on('drain', sendMore)
      sendMore()
    },
    isComplete: false
  }
]

describe('callHttp', () => {
  for (const { title, respond, isComplete } of cases) {
    it(title, async () => {
      const outcome = await withServer(respond, async (url) => {
        try {
          return (await httpCall.callHttp({ method: 'GET', url, idleTimeoutMs: 2000 })).body
        } catch (error) {
          return error
        }
      })
      if (isComplete) expect(outcome).to.equal('body')
      else expect(outcome).to.be.instanceOf(httpCall.HttpCallError)
    })
  }
})
