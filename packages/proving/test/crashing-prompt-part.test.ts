// Requests with one prompt part crash each target that begins to answer them. Guards against gateways that send such requests to one target
// after the other, and against sound requests that are refused with them.
import * as decisions from '@acaciaweir/decisions'
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as fleets from '../src/soak-fleet.js'

const { expect } = chai
const { CrashMoment } = standIns.targetServer

const GATEWAYS = 4

/** Crashes after which the fleet must know the part. */
const KNOWN_AFTER_CRASHES = 5

/** Time from then until the fleet must send no more of these requests, in milliseconds; sound ones have twice that. */
const REACTION_MS = 3000

/** Requests with the part that may still reach targets after that. */
const MAXIMUM_LATE_REQUESTS = 3

/** Time for which sound requests are counted, in milliseconds. */
const COUNTED_MS = 3000

const SOUND_INTERVAL_MS = 20
const CRASHING_INTERVAL_MS = 250
const CRASHING_PART = 'bad0'
const COMMON_PART = 'c0'

const accounts = [
  { name: 'both', apiKey: 'key-both', prepaidTokens: 10_000_000 },
  { name: 'sound', apiKey: 'key-sound', prepaidTokens: 10_000_000 }
]

interface Case {
  name: string
  path: string
  moment: standIns.targetServer.CrashMoment
  /** Shared parts of a crashing request, of which `middle` is one that sound requests have too. */
  parts: (middle: string) => string[]
  /** Disturbs gateways once the part must be known. */
  disturb?: (fleet: fleets.SoakFleet) => Promise<void>
}

const cases: Case[] = [
  { name: 'before the head of the answer, in the middle of the prompt', path: '/plan/', moment: CrashMoment.beforeHead, parts: (middle) => [COMMON_PART, CRASHING_PART, middle] },
  { name: 'after the head, as first part', path: '/plan/', moment: CrashMoment.afterHead, parts: (middle) => [CRASHING_PART, middle] },
  {
    name: 'after some events of resumable streams, while a gateway is paused and another one is replaced',
    path: '/reply/',
    moment: CrashMoment.afterEvents,
    parts: (middle) => [COMMON_PART, middle, CRASHING_PART],
    disturb: pauseAndReplace
  }
]

interface Sent {
  attemptId: string
  sentAt: number
  answer: standIns.callerClient.CallerAnswer
}

describe('a prompt part that crashes targets', () => {
  for (const { name, path, moment, parts, disturb } of cases) {
    it(`is sent to few more targets once five have ended, and sound requests are served: ${name}`, async () => {
      const fleet = new fleets.SoakFleet(accounts)
      const { platform } = fleet
      const random = new decisions.random.SeededRandom(7)
      await fleet.start(GATEWAYS, () => {})
      let sentRequests = 0
      const send = async (requestParts: string[], apiKey: string): Promise<Sent> => {
        sentRequests += 1
        const attemptId = `attempt-${sentRequests}`
        const last = Buffer.from(attemptId).toString('hex')
        const headers = standIns.callerClient.callerHeaders({ host: standIns.platformStandIn.ROUTE_HOST, attemptId, apiKey, remainingMs: 3000, model: { promptTokens: 90, outputTokens: 10, session: 'a0' } })
        const sentAt = performance.now()
        const host = fleet.hosts[random.integer(GATEWAYS)]
        const prefix = [...requestParts, last].map((id) => `${id}:20`).join(',')
        return { attemptId, sentAt, answer: await standIns.callerClient.send(host.callerAddress, `${path}x`, { ...headers, 'prompt-prefix': prefix }, '', 4000) }
      }
      const middlePart = (): string => `5${random.integer(12)}`
      const sendSound = async (): Promise<Sent> => await send([COMMON_PART, middlePart()], accounts[random.integer(2)].apiKey)
      const sendCrashing = async (): Promise<Sent> => await send(parts(middlePart()), accounts[0].apiKey)

      const before = await repeat(SOUND_INTERVAL_MS, () => false, sendSound, COUNTED_MS)
      platform.crashingParts.set(CRASHING_PART, moment)
      const startedAt = performance.now()
      const knownAt = (): number => platform.crashTimes[KNOWN_AFTER_CRASHES - 1] ?? Infinity
      const isOver = (): boolean => performance.now() > Math.min(knownAt(), startedAt + 2 * REACTION_MS) + 2 * REACTION_MS + COUNTED_MS
      const disturbing = fleets.sleep(REACTION_MS).then(async () => { await disturb?.(fleet) })
      const [sound, crashing] = await Promise.all([repeat(SOUND_INTERVAL_MS, isOver, sendSound), repeat(CRASHING_INTERVAL_MS, isOver, sendCrashing), disturbing])
      await fleet.stop()

      const lateRuns = platform.runs().filter((run) => run.parts.includes(CRASHING_PART) && run.startedAt > knownAt() + REACTION_MS)
      expect(lateRuns.length, 'requests with the part at targets').to.be.at.most(MAXIMUM_LATE_REQUESTS)
      const ranIds = new Set(platform.runs().map((run) => run.attemptId))
      const beginShare = (requests: Sent[]): number => requests.filter((request) => ranIds.has(request.attemptId)).length / requests.length
      const soundLate = sound.filter((request) => request.sentAt > Math.min(knownAt(), startedAt + 2 * REACTION_MS) + 2 * REACTION_MS)
      expect(beginShare(soundLate), 'share of sound requests that begin').to.be.at.least(beginShare(before) / 2)
      const refused = crashing.filter((request) => request.answer.status === 503)
      expect(refused.length, 'requests with the part that were refused').to.be.at.least(10)
      expect(refused.filter((request) => ranIds.has(request.attemptId)), 'refused as not run, but ran').to.deep.equal([])
    })
  }
})

async function pauseAndReplace (fleet: fleets.SoakFleet): Promise<void> {
  const [paused, replaced] = fleet.hosts
  paused.pause()
  await replaced.terminate('SIGKILL')
  replaced.start(() => {})
  await fleets.sleep(1500)
  paused.resume()
}

/** Sends requests at a fixed interval, however late the answers are, and resolves with all answers. */
async function repeat (intervalMs: number, isOver: () => boolean, send: () => Promise<Sent>, milliseconds = Infinity): Promise<Sent[]> {
  const end = performance.now() + milliseconds
  const sent: Array<Promise<Sent>> = []
  while (performance.now() < end && !isOver()) {
    sent.push(send())
    await fleets.sleep(intervalMs)
  }
  return await Promise.all(sent)
}
