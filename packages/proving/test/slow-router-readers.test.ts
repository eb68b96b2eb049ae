// A router is told to stop while callers have yet to read their answers. Guards against answers that are cut off because they had been handed to Node.
import * as chai from 'chai'
import * as http from 'node:http'
import * as examples from '../src/example-manifest.js'
import * as fleets from '../src/fleet.js'
import * as soakFleets from '../src/soak-fleet.js'

const { expect } = chai

const CALLERS = 3

const ANSWER_BYTES = 12_000_000

/** Time for the router to hand over all answers before it is told to stop, in milliseconds. */
const HAND_OVER_MS = 1500

/** Time after SIGTERM at which callers start to read, in milliseconds. */
const READ_DELAY_MS = 2500

/** Time in which a router must stop although callers never read, in milliseconds. */
const STOP_MS = 8000

describe('a router process after SIGTERM whose callers read slowly', () => {
  let fleet: fleets.Fleet
  let requests: http.ClientRequest[]

  beforeEach(async () => {
    requests = []
    fleet = new fleets.Fleet('slow-readers', {
      availabilityZones: ['zone-a'],
      routers: 1,
      engines: 1,
      services: 1,
      accounts: 1,
      totalTokens: 1_000_000,
      capTokens: 1_000_000,
      slots: 64,
      firstTokenMs: 30,
      tokenIntervalMs: 5,
      extraBudgets: 0,
      routerSettings: {}
    }, 1)
    await fleet.start()
    await fleet.setTarget(fleet.target('service-0'), { answerBytes: ANSWER_BYTES })
  })
  afterEach(async () => {
    for (const request of requests) request.destroy()
    await fleet.stop()
  })

  /** Sends a request and resolves with its answer, of which nothing has been read but the head. */
  function send (): Promise<http.IncomingMessage> {
    return new Promise((resolve, reject) => {
      const headers = { authorization: `Bearer ${examples.exampleApiKey(fleet.accounts[0])}` }
      const request = http.request(`${fleet.routers[0].callerAddress}/services/registry/item`, { headers, agent: false }, resolve)
      requests.push(request)
      request.on('error', reject)
      request.end()
    })
  }

  /** Sends the requests of all callers and tells the router to stop once it has handed over their answers. Resolves with the answers. */
  async function sendAndTerminate (): Promise<http.IncomingMessage[]> {
    const answers = await Promise.all(Array.from({ length: CALLERS }, send))
    for (const answer of answers) answer.on('error', () => {})
    expect(answers.map(({ statusCode }) => statusCode)).to.deep.equal(answers.map(() => 200))
    await soakFleets.sleep(HAND_OVER_MS)
    fleet.routers[0].process?.signal('SIGTERM')
    return answers
  }

  it('writes out the answers', async () => {
    const answers = await sendAndTerminate()
    await soakFleets.sleep(READ_DELAY_MS)
    const sizes = await Promise.all(answers.map(readSize))
    expect(sizes).to.deep.equal(answers.map(({ headers }) => Number(headers['content-length'])))
    expect(await fleet.routers[0].process?.waitForExit()).to.equal(0)
  })

  it('stops if callers never read', async () => {
    await sendAndTerminate()
    const startedAt = performance.now()
    expect(await fleet.routers[0].process?.waitForExit()).to.equal(0)
    expect(performance.now() - startedAt).to.be.below(STOP_MS)
  })
})

/** Reads an answer until its end or the end of its connection. Returns the bytes read. */
function readSize (answer: http.IncomingMessage): Promise<number> {
  return new Promise((resolve) => {
    let bytes = 0
    answer.on('data', (chunk: Buffer) => { bytes += chunk.length })
    answer.on('close', () => { resolve(bytes) })
  })
}
