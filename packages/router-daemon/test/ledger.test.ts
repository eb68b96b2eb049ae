import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as chai from 'chai'
import type * as incarnations from '../src/incarnation.js'
import type * as ledgers from '../src/ledger.js'
import * as fakes from './fakes.js'

const PAGE = platform.objectKeys.ledgerKey('shared')

function request (account: string, requestId: string, tokens: number, waitMs = 0): ledgers.ReserveRequest {
  return { key: { budget: 'shared', account }, requestId, tokens, waitMs, recoveryWaitMs: waitMs, gone: new AbortController().signal }
}

function pageOf (client: fakes.FakePlatform): decisions.ledgerTypes.LedgerPage {
  return client.objectAt(PAGE) as decisions.ledgerTypes.LedgerPage
}

interface OutcomeCase {
  title: string
  asks: Array<[account: string, tokens: number]>
  outcomes: ledgers.ReserveOutcome[]
}

const cases: OutcomeCase[] = [
  { title: 'reserves what fits', asks: [['alpha', 800], ['beta', 200]], outcomes: ['reserved', 'reserved'] },
  { title: 'refuses beyond the account cap', asks: [['alpha', 801]], outcomes: ['exhausted'] },
  { title: 'refuses beyond the budget total', asks: [['alpha', 700], ['beta', 301]], outcomes: ['reserved', 'exhausted'] },
  { title: 'still serves a small request after refusing a large one', asks: [['alpha', 900], ['alpha', 100]], outcomes: ['exhausted', 'reserved'] },
  { title: 'takes free tokens of one account for another when the total has run out', asks: [['alpha', 10], ['beta', 780], ['alpha', 190]], outcomes: ['reserved', 'reserved', 'reserved'] }
]

describe('ledger', () => {
  let client: fakes.FakePlatform
  let clock: fakes.FakeClock
  let one: incarnations.Incarnation

  beforeEach(() => {
    client = new fakes.FakePlatform()
    clock = new fakes.FakeClock()
    one = fakes.createIncarnation('one', client, clock)
  })

  for (const example of cases) {
    it(example.title, async () => {
      const outcomes: string[] = []
      for (const [index, [account, tokens]] of example.asks.entries()) outcomes.push(await one.ledger.reserve(request(account, `r${index}`, tokens)))
      chai.expect(outcomes).to.deep.equal(example.outcomes)
    })
  }

  it('lets a waiting request have what another settles', async () => {
    await one.ledger.reserve(request('alpha', 'r1', 800))
    const waiting = one.ledger.reserve(request('alpha', 'r2', 500, 1000))
    one.ledger.settle('r1', 'shared', 100)
    chai.expect(await waiting).to.equal('reserved')
  })

  it('says unreachable, not exhausted, while the platform is out', async () => {
    client.down = true
    chai.expect(await one.ledger.reserve(request('alpha', 'r1', 10))).to.equal('unreachable')
  })

  it('counts a grant once whose answer was lost', async () => {
    let lost = 0
    client.afterWrite = () => { lost += 1; return lost <= 2 }
    chai.expect(await one.ledger.reserve(request('alpha', 'r1', 600))).to.equal('reserved')
    const { granted } = decisions.ledgerPage.grantCounters(pageOf(client), 'one', 'alpha')
    const [[, holding]] = one.ledger.book.entries()
    chai.expect(holding.granted).to.equal(granted)
    chai.expect(granted).to.be.at.most(800)
  })

  it('never reserves more than the total over several routers, whichever answers are lost', async () => {
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
    chai.expect(decisions.ledgerPage.totalDrawn(pageOf(client))).to.be.at.most(fakes.testLimits.totalTokens)
  })

  it('draws nothing more once others have folded its incarnation', async () => {
    await one.ledger.reserve(request('alpha', 'r1', 100))
    client.change(PAGE, () => decisions.ledgerPage.foldIncarnation(pageOf(client), 'one', { alpha: 100 }))
    chai.expect(await one.ledger.reserve(request('alpha', 'r2', 600))).to.equal('exhausted')
    chai.expect(pageOf(client).incarnations).to.deep.equal({})
  })

  it('refuses what waits when it is stopped', async () => {
    await one.ledger.reserve(request('alpha', 'r1', 800))
    const waiting = one.ledger.reserve(request('alpha', 'r2', 500, 100_000))
    one.ledger.stop()
    chai.expect(await waiting).to.equal('unreachable')
  })

  it('returns free tokens at the end, and nothing twice', async () => {
    await one.ledger.reserve(request('alpha', 'r1', 100))
    one.ledger.settle('r1', 'shared', 30)
    await one.ledger.handBack()
    await one.ledger.handBack()
    chai.expect(decisions.ledgerPage.totalDrawn(pageOf(client))).to.equal(30)
  })
})
