// Requests with one message crash each engine that begins to answer them. Guards against routers that send such requests to one engine after
// the other, and against sound requests that are refused with them.
import * as decisions from '@acaciaweir/decisions'
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as examples from '../src/example-manifest.js'
import * as fleets from '../src/fleet.js'

const { expect } = chai

const ROUTERS = 3
const REACTION_MS = 3000
const KNOWN_AFTER_CRASHES = 5
const MAXIMUM_LATE_CRASHES = 3
const CRASH_TEXT = 'a picture that ends engines'
const SOUND_INTERVAL_MS = 40
const CRASHING_INTERVAL_MS = 300
const RUN_MS = 15_000

interface Sent {
  sentAt: number
  answer: standIns.callerClient.CallerAnswer
}

describe('a message that crashes engines behind routers', () => {
  it('is sent to few more engines once five have ended, and sound requests are served', async () => {
    const fleet = new fleets.Fleet('crashing-part', {
      availabilityZones: ['zone-a', 'zone-b'],
      routers: ROUTERS,
      engines: 4,
      services: 0,
      accounts: 2,
      totalTokens: 1_000_000_000,
      capTokens: 1_000_000_000,
      slots: 64,
      firstTokenMs: 30,
      tokenIntervalMs: 5,
      extraBudgets: 0,
      routerSettings: { 'heartbeat-interval-ms': 300, 'allotment-minimum-tokens': 1_000_000 }
    }, 1)
    await fleet.start()
    const random = new decisions.random.SeededRandom(3)
    let sentRequests = 0
    const send = async (shared: string, account: number): Promise<Sent> => {
      sentRequests += 1
      const headers = { authorization: `Bearer ${examples.exampleApiKey(fleet.accounts[account])}`, 'content-type': 'application/json' }
      const messages = [{ role: 'system', content: 'Answer briefly.' }, { role: 'user', content: shared }, { role: 'user', content: `question ${sentRequests}` }]
      const router = fleet.routers[random.integer(ROUTERS)]
      const sentAt = performance.now()
      return { sentAt, answer: await standIns.callerClient.send(new URL(router.callerAddress).host, '/v1/chat/completions', headers, JSON.stringify({ model: 'advisor', max_tokens: 5, messages }), 5000) }
    }
    for (let count = 0; count < 30; count++) await send(`topic ${count % 6}`, count % 2)
    await fleet.setCrashText(CRASH_TEXT)
    const end = performance.now() + RUN_MS
    const [sound, crashing] = await Promise.all([
      collect(SOUND_INTERVAL_MS, end, async () => await send(`topic ${random.integer(6)}`, random.integer(2))),
      collect(CRASHING_INTERVAL_MS, end, async () => await send(CRASH_TEXT, 0))
    ])
    const crashTimes = [...fleet.engineCrashTimes]
    await fleet.stop()

    const knownAt = crashTimes[KNOWN_AFTER_CRASHES - 1] ?? Infinity
    expect(crashTimes.length, 'crashes').to.be.at.least(2)
    expect(crashTimes.filter((at) => at > knownAt + REACTION_MS).length, 'crashes after the bound').to.be.at.most(MAXIMUM_LATE_CRASHES)
    expect(crashing.filter(({ answer }) => answer.status === 503 && answer.headers['acaciaweir-ran'] === 'no').length, 'refused as not run').to.be.at.least(10)
    const lastSound = sound.filter(({ sentAt }) => sentAt > end - 4000)
    expect(lastSound.filter(({ answer }) => answer.status === 200).length / lastSound.length, 'share of sound requests served').to.be.at.least(0.5)
  })
})

/** Sends requests at a fixed interval, however late the answers are, and resolves with all answers. */
async function collect (intervalMs: number, end: number, send: () => Promise<Sent>): Promise<Sent[]> {
  const sent: Array<Promise<Sent>> = []
  while (performance.now() < end) {
    sent.push(send())
    await new Promise<void>((resolve) => { setTimeout(resolve, intervalMs) })
  }
  return await Promise.all(sent)
}
