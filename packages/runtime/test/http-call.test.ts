import * as chai from 'chai'
import * as http from 'node:http'
import type * as net from 'node:net'
import * as httpCall from '../src/http-call.js'

const { expect } = chai

/** Serves one answer, written by hand on the socket. */
async function withServer<Result> (answer: (socket: net.Socket) => void, use: (url: string) => Promise<Result>): Promise<Result> {
  const server = http.createServer((message) => { answer(message.socket) })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  try {
    return await use(`http://127.0.0.1:${port}/`)
  } finally {
    server.close()
    server.closeAllConnections()
  }
}

const HEAD = 'HTTP/1.1 200 OK\r\n'

const cases: Array<{ name: string, answer: (socket: net.Socket) => void, whole: boolean }> = [
  { name: 'takes an answer with a length as whole', answer: (socket) => { socket.end(`${HEAD}Content-Length: 4\r\n\r\nbody`) }, whole: true },
  { name: 'takes an answer that ends with its connection as whole', answer: (socket) => { socket.end(`${HEAD}\r\nbody`) }, whole: true },
  { name: 'refuses an answer shorter than its length', answer: (socket) => { socket.end(`${HEAD}Content-Length: 9\r\n\r\nbody`) }, whole: false },
  { name: 'refuses a chunked answer without its last chunk', answer: (socket) => { socket.end(`${HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n`) }, whole: false },
  {
    name: 'refuses an answer without a length whose connection is reset',
    answer: (socket) => { socket.write(`${HEAD}\r\nbo`, () => { setTimeout(() => { socket.resetAndDestroy() }, 50) }) },
    whole: false
  },
  {
    name: 'refuses an answer without a length whose last bytes arrive together with a reset',
    answer: (socket) => { socket.write(`${HEAD}\r\nbo`, () => { socket.resetAndDestroy() }) },
    whole: false
  }
]

describe('reading a whole answer', () => {
  for (const { name, answer, whole } of cases) {
    it(name, async () => {
      const outcome = await withServer(answer, async (url) => {
        try {
          return (await httpCall.callHttp({ method: 'GET', url, idleTimeoutMs: 2000 })).body
        } catch (error) {
          return error
        }
      })
      if (whole) expect(outcome).to.equal('body')
      else expect(outcome).to.be.instanceOf(httpCall.HttpCallError)
    })
  }
})
