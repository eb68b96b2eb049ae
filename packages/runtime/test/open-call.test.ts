// Guards against a call that never settles: a server may answer 101 unasked, end after an interim answer, never connect or say nothing at all.
import * as chai from 'chai'
import * as http from 'node:http'
import * as net from 'node:net'
import * as httpCall from '../src/http-call.js'

const { expect } = chai
const { CallProgress } = httpCall

/** Time after which the caller gives up, and the longest time after it until the call settles, in milliseconds. */
const DEADLINE_MS = 600
const SLACK_MS = 500

/** Time for a call to settle without its deadline, in milliseconds. */
const SETTLE_MS = 1000

const REQUEST_HEADERS = { connection: 'keep-alive' }
const UPGRADE = 'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: other\r\n\r\n'
const ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody'

/** Runs an action against a server that handles the bytes of a request itself. Tells the action which sockets it accepted. */
async function withServer<Result> (respond: (socket: net.Socket) => void, action: (url: string, sockets: net.Socket[]) => Promise<Result>): Promise<Result> {
  const sockets: net.Socket[] = []
  const server = net.createServer((socket) => {
    sockets.push(socket)
    socket.on('error', () => {})
    socket.once('data', () => { respond(socket) })
  })
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  try {
    return await action(`http://127.0.0.1:${(server.address() as net.AddressInfo).port}/`, sockets)
  } finally {
    for (const socket of sockets) socket.destroy()
    server.close()
  }
}

/** Resolves with the status of the answer or the error of a call, or with undefined if it has not settled in time. */
async function settle (call: httpCall.HttpCall, withinMs: number): Promise<number | httpCall.HttpCallError | undefined> {
  let timer: NodeJS.Timeout | undefined
  const tooLate = new Promise<undefined>((resolve) => { timer = setTimeout(() => { resolve(undefined) }, withinMs) })
  const outcome = httpCall.openCall(call).then((response) => {
    response.resume()
    return response.statusCode
  }, (error: httpCall.HttpCallError) => error)
  try {
    return await Promise.race([outcome, tooLate])
  } finally {
    clearTimeout(timer)
  }
}

function writeForever (text: string): (socket: net.Socket) => void {
  return (socket) => {
    const timer = setInterval(() => { socket.write(text) }, 20)
    socket.on('close', () => { clearInterval(timer) })
  }
}

/** Answers without a final one that is of use. */
const unanswered: Array<{ title: string, respond: (socket: net.Socket) => void }> = [
  { title: '101 and bytes of something else', respond: (socket) => { socket.write(`${UPGRADE}?`) } },
  { title: '101 without more', respond: (socket) => { socket.write(UPGRADE) } },
  { title: '101 and the end', respond: (socket) => { socket.end(UPGRADE) } },
  { title: '101 without the headers of an upgrade', respond: (socket) => { socket.write('HTTP/1.1 101 Switching Protocols\r\n\r\n') } },
  { title: '101 after an interim answer', respond: (socket) => { socket.write(`HTTP/1.1 103 Early Hints\r\n\r\n${UPGRADE}`) } },
  { title: '101 with an answer behind it', respond: (socket) => { socket.write(`${UPGRADE}${ANSWER}`) } },
  { title: 'a status below 100', respond: (socket) => { socket.write('HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n') } },
  { title: '100 and the end', respond: (socket) => { socket.end('HTTP/1.1 100 Continue\r\n\r\n') } },
  { title: '103 and the end', respond: (socket) => { socket.end('HTTP/1.1 103 Early Hints\r\n\r\n') } },
  { title: '103 and a reset', respond: (socket) => { socket.write('HTTP/1.1 103 Early Hints\r\n\r\n', () => { socket.resetAndDestroy() }) } },
  { title: 'the end at once', respond: (socket) => { socket.end() } },
  { title: 'the end inside the status line', respond: (socket) => { socket.end('HTTP/1.1 20') } },
  { title: 'a reset', respond: (socket) => { socket.resetAndDestroy() } },
  { title: 'more blank lines than a head may have', respond: (socket) => { socket.write('\r\n'.repeat(100_000)) } },
  { title: 'more interim answers than a head may have', respond: (socket) => { socket.write('HTTP/1.1 103 Early Hints\r\n\r\n'.repeat(10_000)) } }
]

/** Answers that only the caller's deadline ends. */
const endless: typeof unanswered = [
  { title: 'nothing', respond: () => {} },
  { title: '100 and nothing more', respond: (socket) => { socket.write('HTTP/1.1 100 Continue\r\n\r\n') } },
  { title: '100 again and again', respond: writeForever('HTTP/1.1 100 Continue\r\n\r\n') },
  { title: '103 again and again', respond: writeForever('HTTP/1.1 103 Early Hints\r\n\r\n') },
  { title: 'one byte after another', respond: writeForever('\r\n') }
]

/** Interim answers before a final one. */
const answered: typeof unanswered = [
  { title: '100', respond: (socket) => { socket.write(`HTTP/1.1 100 Continue\r\n\r\n${ANSWER}`) } },
  { title: '102 and 103', respond: (socket) => { socket.write(`HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${ANSWER}`) } }
]

describe('openCall', () => {
  for (const { title, respond } of unanswered) {
    it(`rejects as sent without an answer, and closes the connection: ${title}`, async () => {
      await withServer(respond, async (url, sockets) => {
        const agent = new http.Agent({ keepAlive: true })
        const outcome = await settle({ method: 'GET', url, headers: REQUEST_HEADERS, idleTimeoutMs: 10 * SETTLE_MS, agent }, SETTLE_MS)
        expect(outcome).to.be.instanceOf(httpCall.HttpCallError).with.property('progress', CallProgress.sent)
        if (!sockets[0].destroyed) await new Promise((resolve) => { sockets[0].once('close', resolve) })
        expect(Object.values(agent.freeSockets)).to.have.length(0)
      })
    })
  }

  for (const { title, respond } of endless) {
    it(`rejects as sent without an answer at the caller's deadline: ${title}`, async () => {
      await withServer(respond, async (url) => {
        const outcome = await settle({ method: 'GET', url, idleTimeoutMs: 10 * SETTLE_MS, signal: AbortSignal.timeout(DEADLINE_MS) }, DEADLINE_MS + SLACK_MS)
        expect(outcome).to.be.instanceOf(httpCall.HttpCallError).with.property('progress', CallProgress.sent)
      })
    })
  }

  for (const { title, respond } of answered) {
    it(`resolves with the final answer after interim ones: ${title}`, async () => {
      await withServer(respond, async (url) => {
        expect(await settle({ method: 'GET', url, idleTimeoutMs: SETTLE_MS }, SETTLE_MS)).to.equal(200)
      })
    })
  }

  const unconnected: Array<{ title: string, limits: Pick<httpCall.HttpCall, 'connectTimeoutMs' | 'idleTimeoutMs'>, hasDeadline: boolean }> = [
    { title: 'connect time-out', limits: { connectTimeoutMs: DEADLINE_MS, idleTimeoutMs: 10 * SETTLE_MS }, hasDeadline: false },
    { title: 'idle time-out', limits: { idleTimeoutMs: DEADLINE_MS }, hasDeadline: false },
    { title: 'deadline', limits: { idleTimeoutMs: 10 * SETTLE_MS }, hasDeadline: true }
  ]
  for (const { title, limits, hasDeadline } of unconnected) {
    it(`rejects as not sent if it never gets a connection: ${title}`, async () => {
      const agent = new http.Agent({ lookup: () => {} } as http.AgentOptions)
      const signal = hasDeadline ? AbortSignal.timeout(DEADLINE_MS) : undefined
      const outcome = await settle({ method: 'GET', url: 'http://target.invalid/', agent, signal, ...limits }, DEADLINE_MS + SLACK_MS)
      agent.destroy()
      expect(outcome).to.be.instanceOf(httpCall.HttpCallError).with.property('progress', CallProgress.notSent)
    })
  }

  it('rejects as not sent at the deadline while it waits for a connection of its agent', async () => {
    await withServer(() => {}, async (url) => {
      const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
      const first = settle({ method: 'GET', url, agent, idleTimeoutMs: 10 * SETTLE_MS }, SETTLE_MS + SLACK_MS)
      const outcome = await settle({ method: 'GET', url, agent, idleTimeoutMs: 10 * SETTLE_MS, signal: AbortSignal.timeout(DEADLINE_MS) }, DEADLINE_MS + SLACK_MS)
      expect(outcome).to.be.instanceOf(httpCall.HttpCallError).with.property('progress', CallProgress.notSent)
      agent.destroy()
      await first
    })
  })

  it('rejects as not sent if the request cannot be written', async () => {
    const outcome = await settle({ method: 'GET', url: 'http://127.0.0.1:9/', headers: { odd: 'line\nend' }, idleTimeoutMs: SETTLE_MS }, SETTLE_MS)
    expect(outcome).to.be.instanceOf(httpCall.HttpCallError).with.property('progress', CallProgress.notSent)
  })
})
