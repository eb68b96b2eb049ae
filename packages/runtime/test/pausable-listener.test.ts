// Guards against a listener that cuts accepted connections when it is shut for a moment, that stays shut, or that opens again after its end.
import * as chai from 'chai'
import * as http from 'node:http'
import * as net from 'node:net'
import * as reopenListener from '../src/reopen-listener.js'

const { expect } = chai

describe('a listener that can be paused', () => {
  let server: http.Server
  let listener: reopenListener.PausableListener
  let port: number
  const blockers: net.Server[] = []

  beforeEach(async () => {
    server = http.createServer({ connectionsCheckingInterval: 100 }, (_request, response) => { response.end('served') })
    server.headersTimeout = 300
    listener = new reopenListener.PausableListener(server, 16)
    await listener.listen(0, '127.0.0.1')
    port = (server.address() as net.AddressInfo).port
  })

  afterEach(() => {
    listener.close()
    server.closeAllConnections()
    for (const blocker of blockers.splice(0)) blocker.close()
  })

  it('refuses new connections meanwhile and takes them afterwards', async () => {
    listener.pause(150)
    expect(await connect(port)).to.equal('ECONNREFUSED')
    await until(async () => await connect(port) === 'open')
  })

  it('serves kept connections on', async () => {
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
    const localPorts = [await get(port, agent)]
    listener.pause(60_000)
    localPorts.push(await get(port, agent))
    expect(localPorts[1]).to.equal(localPorts[0])
    agent.destroy()
  })

  it('takes connections at once if a pause is ended', async () => {
    listener.pause(60_000)
    listener.resume()
    await until(async () => await connect(port) === 'open')
  })

  it('stays shut once it is closed in a pause', async () => {
    listener.pause(20)
    listener.close()
    await sleep(100)
    expect(await connect(port)).to.equal('ECONNREFUSED')
  })

  it('opens as soon as the port is free again', async () => {
    listener.pause(50)
    const blocker = net.createServer((socket) => { socket.destroy() })
    blockers.push(blocker)
    await new Promise<void>((resolve) => { blocker.listen(port, '127.0.0.1', resolve) })
    await sleep(200)
    expect(server.listening).to.equal(false)
    blocker.close()
    await until(async () => server.listening)
  })

  it('does not put off the check of requests that arrive too slowly', async () => {
    const socket = net.connect(port, '127.0.0.1', () => { socket.write('GET / HTTP/1.1\r\n') })
    let isClosed = false
    socket.on('data', () => {}).on('error', () => {}).on('close', () => { isClosed = true })
    await sleep(30)
    const pauses = setInterval(() => { listener.pause(10) }, 50)
    try {
      await until(async () => isClosed)
    } finally {
      clearInterval(pauses)
    }
  })
})

function connect (port: number): Promise<string> {
  return new Promise((resolve) => {
    const socket = net.connect(port, '127.0.0.1', () => {
      socket.destroy()
      resolve('open')
    })
    socket.on('error', (error: NodeJS.ErrnoException) => { resolve(error.code ?? '') })
  })
}

/** Returns the local port of the connection on which a request was served. */
function get (port: number, agent: http.Agent): Promise<number | undefined> {
  return new Promise((resolve, reject) => {
    const request = http.get({ port, host: '127.0.0.1', agent }, (response) => {
      const { localPort } = response.socket
      response.resume().on('end', () => { resolve(localPort) })
    })
    request.on('error', reject)
  })
}

async function until (condition: () => Promise<boolean>): Promise<void> {
  for (const endAt = performance.now() + 10_000; performance.now() < endAt;) {
    if (await condition()) return
    await sleep(10)
  }
  throw new Error('not within 10 s')
}

async function sleep (milliseconds: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, milliseconds) })
}
