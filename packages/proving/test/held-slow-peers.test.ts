// Targets and callers that are slow, and targets that send without end. Guards against a gateway that holds what passes between them without
// bound, that keeps the answer of a caller who never reads, and against a slow caller who loses an answer because its target would not wait.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as net from 'node:net'
import * as usage from '../src/process-usage.js'
import * as fleets from '../src/soak-fleet.js'
import * as crowds from './crowd.js'
import * as slowTargets from './slow-target.js'

const { expect } = chai

const ACCOUNT = { name: 'large', apiKey: 'key-large', prepaidTokens: 1_000_000 }
const NODE_OPTIONS = ['--max-old-space-size=120', '--max-semi-space-size=2']
const MEMORY_MB = 160
const MAXIMUM_DESCRIPTORS = 400
const BODY_BYTES = 1024 * 1024
const STANDING_MS = 4000
const TIMEOUT_MS = 30_000

/** Time limit of the route in the case of callers that never read, and the time after it at which nothing may be held, in milliseconds. */
const SHORT_TIMEOUT_MS = 2000
const HELD_AFTER_MS = 6000

/** The same where the answer is whole, and its caller is given longer to read it. */
const WHOLE_HELD_AFTER_MS = 15_000

const PATIENT = { intervalMs: 50, patienceMs: Infinity, readBytes: Infinity, pieceBytes: 65_536, answerBytes: 1000 }

const nothing = { block: Buffer.alloc(0), bytes: 0, reads: false }

function requestHead (method: string, path: string, name: string, fields = ''): string {
  return `${method} ${path} HTTP/1.1\r\nHost: ${standIns.platformStandIn.ROUTE_HOST}\r\nAttempt-Id: ${name}\r\nApi-Key: ${ACCOUNT.apiKey}\r\nDeadline-Remaining-Ms: ${TIMEOUT_MS}\r\n${fields}\r\n`
}
const upload = (index: number): crowds.Behaviour => ({ head: requestHead('POST', '/order/1', `crowd-${index}`, `Content-Length: ${BODY_BYTES}\r\n`), block: Buffer.alloc(65_536, 'x'), bytes: BODY_BYTES, reads: true })
const query = (index: number, reads: boolean): crowds.Behaviour => ({ ...nothing, reads, head: requestHead('GET', '/stock/1', `crowd-${index}`) })

const cases: Array<{ name: string, target: slowTargets.SlowBehaviour, connections: number, member: (index: number) => crowds.Behaviour }> = [
  { name: 'targets that read a body slowly', target: { ...PATIENT, readBytes: 1024 }, connections: 60, member: upload },
  { name: 'targets that send without end to callers that read', target: { ...PATIENT, intervalMs: 1, answerBytes: Infinity }, connections: 60, member: (index) => query(index, true) },
  { name: 'targets that send without end to callers that do not read', target: { ...PATIENT, intervalMs: 1, answerBytes: Infinity }, connections: 60, member: (index) => query(index, false) },
  { name: 'targets that send slowly to callers that do not read', target: { ...PATIENT, pieceBytes: 16_384, answerBytes: 6_000_000 }, connections: 100, member: (index) => query(index, false) },
  { name: 'targets that cut off answers which callers do not read', target: { ...PATIENT, intervalMs: 1, answerBytes: 12_000_000, patienceMs: 1000 }, connections: 60, member: (index) => query(index, false) }
]

/** Reads an answer in even pieces and returns the bytes of its body. */
async function readSlowly (address: string, name: string, bytesASecond: number, wantedBytes: number): Promise<number> {
  const [host, port] = address.split(':')
  const socket = net.connect({ host, port: Number(port) })
  let received = 0
  socket.on('error', () => {})
  socket.on('readable', () => {})
  socket.write(requestHead('GET', '/stock/1', name))
  const until = Date.now() + TIMEOUT_MS
  while (received < wantedBytes && !socket.destroyed && Date.now() < until) {
    const chunk = socket.read(Math.min(socket.readableLength, bytesASecond / 20)) as Buffer | null
    received += chunk?.length ?? 0
    await fleets.sleep(50)
  }
  socket.destroy()
  return received
}

describe('a gateway process between slow targets and slow callers', () => {
  let fleet: fleets.SoakFleet
  let crowd: crowds.Crowd
  let exits: Array<number | undefined>
  let slowTarget: slowTargets.SlowTarget | undefined
  let mostMegabytes: number
  let mostDescriptors: number
  let sampler: NodeJS.Timeout

  beforeEach(async () => {
    exits = []
    mostMegabytes = 0
    mostDescriptors = 0
    crowd = new crowds.Crowd()
    fleet = new fleets.SoakFleet([ACCOUNT], { memoryMb: MEMORY_MB, maximumDescriptors: MAXIMUM_DESCRIPTORS, nodeOptions: NODE_OPTIONS })
    await fleet.start(1, (_host, code) => { exits.push(code) })
    sampler = setInterval(() => {
      if (exits.length > 0) return
      mostMegabytes = Math.max(mostMegabytes, usage.readUsage(fleet.hosts[0].pid).residentMegabytes)
      mostDescriptors = Math.max(mostDescriptors, usage.openDescriptors(fleet.hosts[0].pid))
    }, 20)
  })
  afterEach(async () => {
    clearInterval(sampler)
    console.log(`        at most ${Math.round(mostMegabytes)} MB and ${mostDescriptors} descriptors`)
    crowd.leave()
    slowTarget?.close()
    await fleet.stop()
  })

  /** Puts a slow target in the place of two of the three targets of the plain service. */
  async function useSlowTarget (behaviour: slowTargets.SlowBehaviour, timeoutMs: number): Promise<slowTargets.SlowTarget> {
    slowTarget = new slowTargets.SlowTarget(behaviour)
    const address = await slowTarget.listen()
    for (const target of fleet.platform.targets.filter((each) => each.options.service === 'orders')) {
      Object.assign(target.options, { slots: 100 })
      const isReplaced = target.options.id !== 'orders-2'
      fleet.platform.store.putObject('servers', target.options.id, { ...target.registryEntry(), ...(isReplaced ? { Address: address } : {}) })
    }
    fleet.platform.configure({ timeoutMs, bodyBytes: 4 * BODY_BYTES })
    await fleets.sleep(1000)
    return slowTarget
  }

  function useQuickTargets (): void {
    for (const target of fleet.platform.targets) fleet.platform.store.putObject('servers', target.options.id, { ...target.registryEntry(), Sequence: 2 })
  }

  async function expectWithinLimits (): Promise<void> {
    useQuickTargets()
    await fleets.sleep(1000)
    const headers = standIns.callerClient.callerHeaders({ host: standIns.platformStandIn.ROUTE_HOST, attemptId: 'ordinary', apiKey: ACCOUNT.apiKey, remainingMs: TIMEOUT_MS })
    const answer = await standIns.callerClient.send(fleet.hosts[0].callerAddress, '/order/1', headers, 'order', TIMEOUT_MS)
    expect(exits, 'the process has ended').to.deep.equal([])
    expect(answer.status, answer.body).to.equal(200)
    expect(mostMegabytes, 'megabytes').to.be.below(MEMORY_MB)
    expect(mostDescriptors, 'descriptors').to.be.at.most(MAXIMUM_DESCRIPTORS)
  }

  for (const { name, target, connections, member } of cases) {
    it(`lives within its limits and answers others: ${name}`, async () => {
      await useSlowTarget(target, TIMEOUT_MS)
      crowd.join(fleet.hosts[0].callerAddress, connections, member)
      await fleets.sleep(STANDING_MS)
      await expectWithinLimits()
    })
  }

  it('gives a slow caller its whole answer although the target cuts off what stays unread', async () => {
    const bytes = 14_000_000
    const target = await useSlowTarget({ ...PATIENT, intervalMs: 1, answerBytes: bytes, patienceMs: 1000 }, TIMEOUT_MS)
    const received = await readSlowly(fleet.hosts[0].callerAddress, 'slow', 1_000_000, bytes)
    expect(target.cutOff).to.equal(0)
    expect(received).to.be.at.least(bytes)
    await expectWithinLimits()
  })

  it('lets go of callers that never read, once their time limit has passed', async () => {
    await useSlowTarget({ ...PATIENT, intervalMs: 1, answerBytes: 12_000_000 }, SHORT_TIMEOUT_MS)
    const before = usage.openDescriptors(fleet.hosts[0].pid)
    crowd.join(fleet.hosts[0].callerAddress, 20, (index) => query(index, false))
    await fleets.sleep(SHORT_TIMEOUT_MS + HELD_AFTER_MS)
    expect(usage.openDescriptors(fleet.hosts[0].pid)).to.be.below(before + 20)
    await expectWithinLimits()
  })

  it('lets go of a caller that never reads, also where its answer is whole', async () => {
    await useSlowTarget({ ...PATIENT, intervalMs: 1, answerBytes: 12_000_000 }, SHORT_TIMEOUT_MS)
    const before = usage.openDescriptors(fleet.hosts[0].pid)
    crowd.join(fleet.hosts[0].callerAddress, 1, (index) => query(index, false))
    await fleets.sleep(SHORT_TIMEOUT_MS / 2)
    expect(usage.openDescriptors(fleet.hosts[0].pid)).to.be.above(before)
    await fleets.sleep(SHORT_TIMEOUT_MS + WHOLE_HELD_AFTER_MS)
    expect(usage.openDescriptors(fleet.hosts[0].pid)).to.be.at.most(before)
    await expectWithinLimits()
  })
})
