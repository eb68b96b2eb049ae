// Guards against overspending: more tokens reserved than the budget's total or a client account's cap allows. It happens if
// a grant is counted twice after a lost reply, if routers draw from the same page at once, or if an incarnation draws after
// another router has folded it. Also checks that tokens freed by settlement, transfer and shutdown can be reserved again.
import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as chai from 'chai'
import type * as incarnations from '../src/incarnation.js'
import type * as ledgers from '../src/ledger.js'
import * as fakes from './fakes.js'

const PAGE = platform.objectKeys.ledgerKey('shared')

function request (account: string, requestId: string, tokens: number, waitMs = 0): ledgers.ReserveRequest {
  return { key: { budget: 'shared', account }, requestId, tokens, waitMs, recoveryWaitMs: waitMs, callerGone: new AbortController().signal }
}

function storedPage (client: fakes.FakePlatform): decisions.ledgerTypes.LedgerPage {
  return client.valueAt(PAGE) as decisions.ledgerTypes.LedgerPage
}

interface ReserveCase {
  title: string
  reservations: Array<[account: string, tokens: number]>
  outcomes: ledgers.ReserveOutcome[]
}

const cases: ReserveCase[] = [
  { title: 'reserves tokens that fit', reservations: [['alpha', 800], ['beta', 200]], outcomes: ['reserved', 'reserved'] },
  { title: 'refuses a reservation above the cap of the client account', reservations: [['alpha', 801]], outcomes: ['exhausted'] },
  { title: 'refuses a reservation above the total of the budget', reservations: [['alpha', 700], ['beta', 301]], outcomes: ['reserved', 'exhausted'] },
  { title: 'reserves tokens for a small request after it has refused a large one', reservations: [['alpha', 900], ['alpha', 100]], outcomes: ['exhausted', 'reserved'] },
  { title: 'draws free tokens of one client account for another when the total is exhausted', reservations: [['alpha', 10], ['beta', 780], ['alpha', 190]], outcomes: ['reserved', 'reserved', 'reserved'] }
]

describe('ledger', () => {
  let client: fakes.FakePlatform
  let clock: fakes.FakeClock
  let incarnation: incarnations.Incarnation

  beforeEach(() => {
    client = new fakes.FakePlatform()
    clock = new fakes.FakeClock()
    incarnation = fakes.createIncarnation('one', client, clock)
  })

  for (const example of cases) {
    it(example.title, async () => {
      const outcomes: string[] = []
      for (const [index, [account, tokens]] of example.reservations.entries()) outcomes.push(await incarnation.ledger.reserve(request(account, `r${index}`, tokens)))
      chai.expect(outcomes).to.deep.equal(example.outcomes)
    })
  }

  it('reserves tokens freed by a settlement for a waiting request', async () => {
    await incarnation.ledger.reserve(request('alpha', 'r1', 800))
    const waiting = incarnation.ledger.reserve(request('alpha', 'r2', 500, 1000))
    incarnation.ledger.settle('r1', 'shared', 100)
    chai.expect(await waiting).to.equal('reserved')
  })

  it('reports unreachable, not exhausted, while the platform does not respond', async () => {
    client.isDown = true
    chai.expect(await incarnation.ledger.reserve(request('alpha', 'r1', 10))).to.equal('unreachable')
  })

  it('counts a grant once when the reply to the page update is lost', async () => {
    let writeCount = 0
    client.afterWrite = () => { writeCount += 1; return writeCount <= 2 }
    chai.expect(await incarnation.ledger.reserve(request('alpha', 'r1', 600))).to.equal('reserved')
    const { granted } = decisions.ledgerPage.grantCounters(storedPage(client), 'one', 'alpha')
    const [[, holding]] = incarnation.ledger.allotment.entries()
    chai.expect(holding.granted).to.equal(granted)
    chai.expect(granted).to.be.at.most(800)
  })

  it('never reserves more than the total across several routers when replies are lost at random', async () => {
    const random = new decisions.random.SeededRandom(7)
    client.afterWrite = () => random.integer(3) === 0
    const routers = ['two', 'three', 'four'].map((id) => fakes.createIncarnation(id, client, clock))
    let reserved = 0
    for (let step = 0; step < 60; step += 1) {
      const router = routers[random.integer(routers.length)]
      const tokens = 1 + random.integer(90)
      const account = random.integer(2) === 0 ? 'alpha' : 'beta'
      if (await router.ledger.reserve(request(account, `s${step}`, tokens)) === 'reserved') reserved += tokens
    }
    chai.expect(reserved).to.be.at.most(fakes.testLimits.totalTokens)
    chai.expect(reserved).to.be.greaterThan(fakes.testLimits.totalTokens / 2)
    chai.expect(decisions.ledgerPage.totalDrawn(storedPage(client))).to.be.at.most(fakes.testLimits.totalTokens)
  })

  it('draws no tokens after another router has folded its incarnation', async () => {
    await incarnation.ledger.reserve(request('alpha', 'r1', 100))
    client.updateObject(PAGE, () => decisions.ledgerPage.foldIncarnation(storedPage(client), 'one', { alpha: 100 }))
    chai.expect(await incarnation.ledger.reserve(request('alpha', 'r2', 600))).to.equal('exhausted')
    chai.expect(storedPage(client).incarnations).to.deep.equal({})
  })

  it('refuses waiting requests when it stops', async () => {
    await incarnation.ledger.reserve(request('alpha', 'r1', 800))
    const waiting = incarnation.ledger.reserve(request('alpha', 'r2', 500, 100_000))
    incarnation.ledger.stop()
    chai.expect(await waiting).to.equal('unreachable')
  })

  it('returns free tokens at shutdown, and none of them twice', async () => {
    await incarnation.ledger.reserve(request('alpha', 'r1', 100))
    incarnation.ledger.settle('r1', 'shared', 30)
    await incarnation.ledger.returnFreeTokens()
    await incarnation.ledger.returnFreeTokens()
    chai.expect(decisions.ledgerPage.totalDrawn(storedPage(client))).to.equal(30)
  })
})
