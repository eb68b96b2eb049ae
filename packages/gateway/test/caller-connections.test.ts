// Guards against requests sent ahead without a bound: Node resumes a socket at the end of each message, and parses what it has read at once
// whole. Also against a connection that is cut after requests of it have been passed on.
import * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import * as http from 'node:http'
import * as net from 'node:net'
import * as timers from 'node:timers/promises'
import * as callerConnections from '../src/caller-connections.js'
import * as fleets from './fleet.js'
import * as virtualClock from './virtual-clock.js'

const { expect } = chai

const REQUESTS = 240
const MAXIMUM_STARTED = 8

/** Time in which a request that isn't held up would be started, in milliseconds. */
const SETTLING_MS = 300

/** Time within which the head of a request must arrive, in milliseconds. */
const HEADERS_TIMEOUT_MS = 100

const requestAt = (index: number): string => `GET /${index} HTTP/1.1\r\nHost: a\r\n\r\n`

describe('connections of callers that send requests ahead', () => {
  let started: http.ServerResponse[]
  let closed: string[]
  let left: Array<string | undefined>
  let isAnswering: boolean
  let server: http.Server
  let socket: net.Socket
  let received: string

  beforeEach(async () => {
    started = []
    closed = []
    left = []
    isAnswering = false
    received = ''
    const memory = new runtime.memoryAccount.MemoryAccount({ clock: new virtualClock.VirtualClock(), capacityBytes: 1_000_000, onPushBack: () => {} })
    const connections = new callerConnections.CallerConnections(10, memory, (reason) => { closed.push(reason) })
    server = http.createServer({ headersTimeout: HEADERS_TIMEOUT_MS, requestTimeout: HEADERS_TIMEOUT_MS, connectionsCheckingInterval: 20 }, (message, response) => {
      connections.takeRequest(message.socket, response, () => {
        connections.watchClose(message.socket, () => { left.push(message.url) })
        started.push(response)
        if (isAnswering) response.end(message.url)
        else response.on('answer', () => { response.end(message.url) })
      })
    })
    server.on('clientError', (error: NodeJS.ErrnoException, connection: net.Socket) => { connections.endUnreadable(connection, error) })
    server.on('connection', (connection) => { connections.add(connection) })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    socket = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1')
    socket.setNoDelay(true)
    socket.on('data', (chunk) => { received += chunk.toString() }).on('error', () => {})
  })
  afterEach(() => {
    socket.destroy()
    server.closeAllConnections()
    server.close()
  })

  const answeredPaths = (): string[] => received.match(/(?<=\r\n)\/\d+(?=HTTP|$|\r)/g) ?? []

  const writings: Array<{ name: string, write: () => Promise<void> }> = [
    {
      name: 'one at a time',
      write: async () => {
        for (let index = 0; index < REQUESTS; index += 1) {
          socket.write(requestAt(index))
          await timers.setTimeout(2)
        }
      }
    },
    { name: 'in one write', write: async () => { socket.write(Array.from({ length: REQUESTS }, (_, index) => requestAt(index)).join('')) } },
    {
      name: 'in two writes that part a head',
      write: async () => {
        const text = Array.from({ length: REQUESTS }, (_, index) => requestAt(index)).join('')
        socket.write(text.slice(0, 3000))
        await timers.setTimeout(20)
        socket.write(text.slice(3000))
      }
    }
  ]
  for (const { name, write } of writings) {
    it(`starts a bounded number and answers all in the end, in order: ${name}`, async () => {
      await write()
      await timers.setTimeout(SETTLING_MS)
      expect(started.length).to.be.within(1, MAXIMUM_STARTED)
      isAnswering = true
      for (const response of [...started]) response.emit('answer')
      await fleets.eventually(() => started.length === REQUESTS && received.includes(`/${REQUESTS - 1}`))
      expect(closed).to.deep.equal([])
      expect(answeredPaths()).to.deep.equal(Array.from({ length: REQUESTS }, (_, index) => `/${index}`))
    })
  }

  it('tells all requests in progress that their caller has left, also those whose answers wait behind others', async () => {
    socket.write(requestAt(0) + requestAt(1) + requestAt(2))
    await fleets.eventually(() => started.length === 3)
    socket.destroy()
    await fleets.eventually(() => left.length === 3)
  })

  it('closes a connection that sends very many requests at once, of which none was passed on', async () => {
    socket.write(Array.from({ length: 400 }, (_, index) => requestAt(index)).join(''))
    await fleets.eventually(() => closed.length > 0)
    expect(closed).to.deep.equal([callerConnections.CloseReason.requestsAhead])
  })
})
