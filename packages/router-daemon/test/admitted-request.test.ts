import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as chai from 'chai'
import * as admitted from '../src/admitted-request.js'
import type * as incarnations from '../src/incarnation.js'
import * as settlers from '../src/intent-settler.js'
import * as fakes from './fakes.js'

// Guards against requests that are sent without a durable record, and against bills that are lost or written twice. Both come about
// when the platform loses the answer to a journal write, or when the process is paused and another router seals its journal.

type Journal = decisions.journalTypes.Journal

const JOURNAL_KEY = platform.objectKeys.journalKey('one')

interface Fixture {
  client: fakes.FakePlatform
  clock: fakes.FakeClock
  incarnation: incarnations.Incarnation
  request: admitted.AdmittedRequest
}

/** Record logs of the fixtures. A running one keeps the event loop busy, as the fake clock does not wait. */
const runningLogs: Array<incarnations.Incarnation['log']> = []

async function createFixture (): Promise<Fixture> {
  const client = new fakes.FakePlatform()
  const clock = new fakes.FakeClock()
  const incarnation = fakes.createIncarnation('one', client, clock)
  incarnation.log.start()
  runningLogs.push(incarnation.log)
  const admission: admitted.AdmissionRequest = {
    envelope: { caller: { account: 'alpha', priority: 5 }, budget: undefined, key: 'one.k1', repeatable: false, keyCheck: { isDone: true }, headers: {}, disconnectSignal: new AbortController().signal },
    budget: 'shared',
    worstCaseTokens: 100,
    worstCasePromptTokens: 40
  }
  const timeouts = { clock, budgetWaitMs: 50, recoveryWaitMs: 50, durabilityWaitMs: 50, billJournalWaitMs: 50, requestTimeoutMs: 200 }
  await admitted.reserveWorstCase(incarnation, 'one~r1', admission, timeouts)
  return { client, clock, incarnation, request: new admitted.AdmittedRequest('one~r1', incarnation, admission, timeouts, () => {}) }
}

function readJournal (client: fakes.FakePlatform): Journal {
  return client.valueAt(JOURNAL_KEY) as Journal
}

/** Seals the journal as another router would. */
function sealJournal (client: fakes.FakePlatform): void {
  client.updateObject(JOURNAL_KEY, (value) => decisions.journal.seal(value as Journal))
}

async function problemTagOf (work: Promise<unknown>): Promise<string> {
  try {
    await work
    return 'none'
  } catch (error) {
    return error instanceof decisions.problem.ProblemError ? error.problem.tag : String(error)
  }
}

const usage = { promptTokens: 10, completionTokens: 20 }

describe('admitted request', () => {
  afterEach(async () => {
    for (const log of runningLogs.splice(0)) await log.close(0)
  })

  it('writes its dispatch record to the journal before the dispatch', async () => {
    const { client, request } = await createFixture()
    await request.recordDispatch('engine-1')
    chai.expect(Object.keys(readJournal(client).open)).to.deep.equal(['one~r1'])
  })

  it('has exactly one bill in the journal when closing resolves, even if it is closed twice', async () => {
    const { client, request } = await createFixture()
    await request.recordDispatch('engine-1')
    await request.closeAsBilled(settlers.createBill(request.intent(), usage, true))
    await request.closeAsBilled(settlers.createBill(request.intent(), usage, true))
    chai.expect(readJournal(client).bills).to.have.length(1)
    chai.expect(readJournal(client).spent).to.deep.equal({ shared: { alpha: 30 } })
  })

  it('refuses the dispatch if the process was paused after the record and its journal was sealed meanwhile', async () => {
    const { client, clock, request } = await createFixture()
    let isPaused = false
    client.afterWrite = (key, value) => {
      if (isPaused || key !== JOURNAL_KEY || Object.keys((value as Journal).open).length === 0) return false
      isPaused = true
      clock.timeMs += 10_000
      sealJournal(client)
      return false
    }
    chai.expect(await problemTagOf(request.recordDispatch('engine-1'))).to.equal('not_durable')
    chai.expect(isPaused).to.equal(true)
  })

  it('reports an unknown withdrawal if its record may be found and cannot be withdrawn', async () => {
    const { client, request, incarnation } = await createFixture()
    client.afterWrite = (key) => {
      if (key === JOURNAL_KEY) client.isDown = true
      return key === JOURNAL_KEY
    }
    chai.expect(await problemTagOf(request.recordDispatch('engine-1'))).to.equal('withdrawal_unknown')
    chai.expect(incarnation.unprovenWithdrawals.size).to.equal(1)
  })

  it('allows the dispatch once a journal write that lost its answer has been read back', async () => {
    const { client, request } = await createFixture()
    let writes = 0
    client.afterWrite = (key) => {
      if (key === JOURNAL_KEY) writes += 1
      return key === JOURNAL_KEY && writes === 1
    }
    chai.expect(await problemTagOf(request.recordDispatch('engine-1'))).to.equal('none')
  })

  it('adds its bill to a sealed journal after gathering the records', async () => {
    const { client, request } = await createFixture()
    await request.recordDispatch('engine-1')
    sealJournal(client)
    await request.closeAsBilled(settlers.createBill(request.intent(), usage, true))
    chai.expect(readJournal(client).state).to.equal('gathered')
    chai.expect(readJournal(client).bills.map((entry) => entry.requestId)).to.deep.equal(['one~r1'])
  })
})
