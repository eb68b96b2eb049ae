import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as chai from 'chai'
import * as admitted from '../src/admitted-request.js'
import type * as incarnations from '../src/incarnation.js'
import * as settlers from '../src/intent-settler.js'
import * as fakes from './fakes.js'

type Journal = decisions.journalTypes.Journal

const KEY = platform.objectKeys.journalKey('one')

interface Setting {
  client: fakes.FakePlatform
  clock: fakes.FakeClock
  incarnation: incarnations.Incarnation
  request: admitted.AdmittedRequest
}

async function admitOne (): Promise<Setting> {
  const client = new fakes.FakePlatform()
  const clock = new fakes.FakeClock()
  const incarnation = fakes.createIncarnation('one', client, clock)
  incarnation.log.start()
  const question: admitted.AdmissionQuestion = {
    envelope: { caller: { account: 'alpha', priority: 5 }, budget: undefined, key: 'one.k1', repeatable: false, proof: { checked: true }, headers: {}, gone: new AbortController().signal },
    budget: 'shared',
    tokens: 100,
    promptTokens: 40
  }
  const limits = { clock, budgetWaitMs: 50, recoveryWaitMs: 50, durabilityWaitMs: 50, billJournalWaitMs: 50, requestTimeoutMs: 200 }
  await admitted.reserveWorstCase(incarnation, 'one~r1', question, limits)
  return { client, clock, incarnation, request: new admitted.AdmittedRequest('one~r1', incarnation, question, limits, () => {}) }
}

function journalOf (client: fakes.FakePlatform): Journal {
  return client.objectAt(KEY) as Journal
}

/** Seals the journal as another router would. */
function sealFrom (client: fakes.FakePlatform): void {
  client.change(KEY, (value) => decisions.journal.seal(value as Journal))
}

async function problemOf (work: Promise<unknown>): Promise<string> {
  try {
    await work
    return 'none'
  } catch (error) {
    return error instanceof decisions.problem.ProblemError ? error.problem.tag : String(error)
  }
}

const bill = { promptTokens: 10, completionTokens: 20 }

describe('admitted request', () => {
  it('has its record in the journal before it may be sent', async () => {
    const { client, request } = await admitOne()
    await request.open('engine-1')
    chai.expect(Object.keys(journalOf(client).open)).to.deep.equal(['one~r1'])
  })

  it('is billed once, in the journal, before its answer ends', async () => {
    const { client, request } = await admitOne()
    await request.open('engine-1')
    await request.closeBilled(settlers.billOf(request.intent(), bill, true))
    await request.closeBilled(settlers.billOf(request.intent(), bill, true))
    chai.expect(journalOf(client).bills).to.have.length(1)
    chai.expect(journalOf(client).spent).to.deep.equal({ shared: { alpha: 30 } })
  })

  it('is not sent where the process was paused after the record, and sealed meanwhile', async () => {
    const { client, clock, request } = await admitOne()
    let paused = false
    client.afterWrite = (key, value) => {
      if (paused || key !== KEY || Object.keys((value as Journal).open).length === 0) return false
      paused = true
      clock.time += 10_000
      sealFrom(client)
      return false
    }
    chai.expect(await problemOf(request.open('engine-1'))).to.equal('not_durable')
    chai.expect(paused).to.equal(true)
  })

  it('says nothing certain where its record may be found and cannot be taken back', async () => {
    const { client, request, incarnation } = await admitOne()
    client.afterWrite = (key) => {
      if (key === KEY) client.down = true
      return key === KEY
    }
    chai.expect(await problemOf(request.open('engine-1'))).to.equal('withdrawal_unknown')
    chai.expect(incarnation.unproved.size).to.equal(1)
  })

  it('is sent after a journal write whose answer was lost has been read back', async () => {
    const { client, request } = await admitOne()
    let writes = 0
    client.afterWrite = (key) => {
      if (key === KEY) writes += 1
      return key === KEY && writes === 1
    }
    chai.expect(await problemOf(request.open('engine-1'))).to.equal('none')
  })

  it('settles its bill in the sealed journal once the records are gathered', async () => {
    const { client, request } = await admitOne()
    await request.open('engine-1')
    sealFrom(client)
    await request.closeBilled(settlers.billOf(request.intent(), bill, true))
    chai.expect(journalOf(client).state).to.equal('gathered')
    chai.expect(journalOf(client).bills.map((entry) => entry.requestId)).to.deep.equal(['one~r1'])
  })
})
