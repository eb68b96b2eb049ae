// Gateways are told to stop while callers have yet to read their answers. Guards against answers that are cut off because they had been handed to Node.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as net from 'node:net'
import * as fleets from '../src/soak-fleet.js'

const { expect } = chai

const ACCOUNT = { name: 'large', apiKey: 'key-large', prepaidTokens: 10_000_000 }

/** Time limit of the routes, in milliseconds. */
const TIMEOUT_MS = 15_000

/** Time for the gateway to hand over all answers before it is told to stop, in milliseconds. */
const HAND_OVER_MS = 800

/** Grace period of the gateway, in milliseconds. */
const GRACE_MS = 8000

/** Time after SIGTERM by which idle connections are closed, in milliseconds. */
const IDLE_CLOSE_MS = 2500

/** Callers that read slowly at the same time. */
const CALLERS = 3

interface SlowReader {
  name: string
  path: string
  /** Requests that a caller sends at once on its connection. */
  requests: number
  answerBytes: number
  /** Time after SIGTERM at which the callers start to read, in milliseconds. */
  readsAfterMs: number
}

const slowReaders: SlowReader[] = [
  { name: 'many answers on a connection, after idle connections are closed', path: '/stock/1', requests: 40, answerBytes: 250_000, readsAfterMs: 2500 },
  { name: 'many answers on a connection, after the gateway has stopped to listen', path: '/stock/1', requests: 40, answerBytes: 250_000, readsAfterMs: 5500 },
  { name: 'many answers that are not repeated, after the gateway has stopped to listen', path: '/order/1', requests: 40, answerBytes: 250_000, readsAfterMs: 5500 },
  { name: 'one large answer, after the gateway has stopped to listen', path: '/stock/1', requests: 1, answerBytes: 12_000_000, readsAfterMs: 5500 }
]

/** A caller that sends requests without reading, and reads all answers later. */
class SlowCaller {
  readonly #socket: net.Socket
  readonly #closed: Promise<void>
  #text = ''

  constructor (address: string, request: string) {
    const [host, port] = address.split(':')
    this.#socket = net.connect(Number(port), host)
    this.#socket.setEncoding('latin1')
    this.#socket.on('data', (text: string) => { this.#text += text })
    this.#socket.on('error', () => {})
    this.#closed = new Promise((resolve) => { this.#socket.on('close', () => { resolve() }) })
    this.#socket.pause()
    this.#socket.write(request)
  }

  /** Reads until the gateway closes the connection. Returns the sizes of the bodies, in bytes; -1 for a chunked body without its end. */
  async readBodies (): Promise<number[]> {
    this.#socket.resume()
    await this.#closed
    return this.#text.split('HTTP/1.1 200 OK\r\n').slice(1).map(bodyBytes)
  }

  close (): void {
    this.#socket.destroy()
  }
}

describe('a gateway process after SIGTERM whose callers read slowly', () => {
  let fleet: fleets.SoakFleet
  let callers: SlowCaller[]

  beforeEach(async () => {
    callers = []
    fleet = new fleets.SoakFleet([ACCOUNT])
    await fleet.start(2, () => {})
    fleet.platform.configure({ timeoutMs: TIMEOUT_MS })
    await fleets.sleep(500)
  })
  afterEach(async () => {
    for (const caller of callers) caller.close()
    await fleet.stop()
  })

  /** Sends the requests of all callers and resolves once the gateway has handed over their answers, as far as it can. */
  async function send ({ path, requests, answerBytes }: Pick<SlowReader, 'path' | 'requests' | 'answerBytes'>): Promise<void> {
    for (const target of fleet.platform.targets) Object.assign(target.options, { answerBytes, slots: CALLERS * requests })
    for (let index = 0; index < CALLERS; index += 1) {
      const requestTexts = Array.from({ length: requests }, (_value, position) => requestText(path, `request-${index}-${position}`))
      callers.push(new SlowCaller(fleet.hosts[0].callerAddress, requestTexts.join('')))
    }
    while (fleet.platform.runs().length < CALLERS * requests) await fleets.sleep(10)
    await fleets.sleep(HAND_OVER_MS)
  }

  for (const slowReader of slowReaders) {
    const { name, requests, answerBytes, readsAfterMs } = slowReader
    it(`writes out ${name}`, async () => {
      await send(slowReader)
      const exited = fleet.hosts[0].terminate('SIGTERM')
      await fleets.sleep(readsAfterMs)
      const bodies = await Promise.all(callers.map(async (caller) => await caller.readBodies()))
      expect(bodies).to.deep.equal(callers.map(() => Array.from({ length: requests }, () => answerBytes)))
      expect(await exited).to.equal(0)
    })
  }

  it('closes an idle connection while other callers have yet to read', async () => {
    await send({ path: '/stock/1', requests: 40, answerBytes: 250_000 })
    const idleCaller = new SlowCaller(fleet.hosts[0].callerAddress, requestText('/stock/1', 'request-idle'))
    callers.push(idleCaller)
    const bodies = idleCaller.readBodies()
    await fleets.sleep(HAND_OVER_MS)
    const startedAt = performance.now()
    const exited = fleet.hosts[0].terminate('SIGTERM')
    expect(await bodies).to.deep.equal([250_000])
    expect(performance.now() - startedAt).to.be.below(IDLE_CLOSE_MS)
    expect(await exited).to.equal(0)
    expect(performance.now() - startedAt).to.be.below(GRACE_MS)
  })

  for (const { requests, answerBytes } of [{ requests: 40, answerBytes: 250_000 }, { requests: 1, answerBytes: 12_000_000 }]) {
    it(`stops within the grace period if callers never read ${requests} answers of ${answerBytes} bytes`, async () => {
      await send({ path: '/stock/1', requests, answerBytes })
      const startedAt = performance.now()
      expect(await fleet.hosts[0].terminate('SIGTERM')).to.equal(0)
      expect(performance.now() - startedAt).to.be.below(GRACE_MS)
    })
  }
})

function requestText (path: string, attemptId: string): string {
  const headers = standIns.callerClient.callerHeaders({ host: standIns.platformStandIn.ROUTE_HOST, attemptId, apiKey: ACCOUNT.apiKey, remainingMs: TIMEOUT_MS })
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`)
  return `GET ${path} HTTP/1.1\r\n${lines.join('')}\r\n`
}

function bodyBytes (answer: string): number {
  const headEnd = answer.indexOf('\r\n\r\n')
  const body = answer.slice(headEnd + 4)
  return /^transfer-encoding: chunked$/im.test(answer.slice(0, headEnd)) ? chunkedBytes(body) : body.length
}

function chunkedBytes (body: string): number {
  let position = 0
  let bytes = 0
  while (true) {
    const lineEnd = body.indexOf('\r\n', position)
    const chunkBytes = parseInt(body.slice(position, lineEnd), 16)
    if (lineEnd === -1 || Number.isNaN(chunkBytes)) return -1
    if (chunkBytes === 0) return bytes
    bytes += chunkBytes
    position = lineEnd + 2 + chunkBytes + 2
  }
}
