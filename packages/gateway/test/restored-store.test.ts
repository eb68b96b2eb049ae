// The store comes back from a backup: what was written since is gone, and its revisions are given out again. Guards against budgets that
// are overspent because the store forgot what was drawn, and against changes that gateways miss or take back.
import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as fastCheck from 'fast-check'
import * as stores from './fake-page-store.js'
import * as fleets from './fleet.js'
import * as targetWatches from '../src/target-watch.js'
import * as tokenPageClients from '../src/token-page-client.js'

const { expect } = chai
const { StoreFault } = standIns.storeServer

const ACCOUNT = { name: 'depot', apiKey: 'key-depot', prepaidTokens: 20_000 }

/** Tokens that each request reserves: its prompt and its longest output. */
const REQUEST_TOKENS = 200

async function pause (milliseconds: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, milliseconds) })
}

describe('a store that comes back from a backup', function () {
  let fleet: fleets.TestFleet

  afterEach(() => { fleet.stop() })

  const budgetCases: Array<{ name: string, restores: number, loseAnswers?: boolean, replacesGateway?: boolean, leastServed: number }> = [
    { name: 'once', restores: 1, leastServed: 0.95 },
    { name: 'twice', restores: 2, leastServed: 0.95 },
    { name: 'after it lost answers', restores: 1, loseAnswers: true, leastServed: 0.9 },
    { name: 'as a gateway is replaced', restores: 1, replacesGateway: true, leastServed: 0.75 }
  ]
  for (const { name, restores, loseAnswers, replacesGateway, leastServed } of budgetCases) {
    it(`does not make gateways overspend a budget, when that happens ${name}`, async () => {
      fleet = await fleets.TestFleet.start({ gateways: 3, engines: 2, accounts: [ACCOUNT], engineOptions: { events: 4, eventIntervalMs: 1 } })
      await fleet.spend(10, REQUEST_TOKENS)
      const backup = fleet.store.backUp()
      await fleet.spend(50, REQUEST_TOKENS)
      if (loseAnswers === true) {
        fleet.store.fault = StoreFault.loseAnswers
        await fleet.spend(20, REQUEST_TOKENS)
      }
      for (let count = 0; count < restores; count++) {
        fleet.store.fault = StoreFault.busy
        await pause(300)
        if (replacesGateway === true) fleet.gateways[2].stopNow()
        fleet.store.restore(backup)
        fleet.store.fault = StoreFault.none
        if (replacesGateway === true) await fleet.startGateway(fleet.settings[2])
        await pause(1500)
      }
      for (let count = 0; count < 4; count++) {
        await fleet.spend(40, REQUEST_TOKENS)
        await pause(600)
      }
      expect(fleet.platform.servedTokens(ACCOUNT.name)).to.be.within(ACCOUNT.prepaidTokens * leastServed - REQUEST_TOKENS, ACCOUNT.prepaidTokens)
    })
  }

  it('does not hide a route that was added under a revision that is given out again', async () => {
    fleet = await fleets.TestFleet.start({ gateways: 2, plainTargets: 1 })
    const backup = fleet.store.backUp()
    for (let count = 0; count < 5; count++) fleet.store.putObject('servers', 'unreadable', { count })
    await pause(600)
    fleet.store.fault = StoreFault.busy
    await pause(3000)
    fleet.store.restore(backup)
    fleet.platform.configure({ routes: [{ Host: standIns.platformStandIn.ROUTE_HOST, TimeoutMs: 5000, TargetLatencyMs: 500, Priority: 1, MaxAttempts: 1, AllowAnonymous: false, Name: 'added', PathPrefix: '/added/', Kind: 'idempotent', Service: 'orders' }] })
    for (let count = 0; count < 9; count++) fleet.store.putObject('servers', 'unreadable', { again: count })
    fleet.store.fault = StoreFault.none
    await pause(2000)
    expect([(await fleet.call(0, '/added/1')).status, (await fleet.call(1, '/added/1')).status]).to.deep.equal([200, 200])
  })

  it('is told from an ordinary list, which brings back a target that was gone', async () => {
    fleet = await fleets.TestFleet.start({ gateways: 2, plainTargets: 2 })
    const target = fleet.targets.find(({ options }) => options.id === 'orders-1')
    if (target === undefined) throw new Error('no target')
    fleet.store.removeObject('servers', 'orders-1')
    await pause(800)
    fleet.store.fault = StoreFault.busy
    await pause(2500)
    fleet.store.putObject('servers', 'orders-1', target.registryEntry())
    fleet.store.dropHistory()
    fleet.store.fault = StoreFault.none
    await pause(1500)
    for (let count = 0; count < 20; count++) await fleet.call(count % 2, '/stock/1')
    expect(target.runs.length).to.be.greaterThan(0)
  })

  it('does not bring back a target that has left, and registers gateways again', async () => {
    fleet = await fleets.TestFleet.start({ gateways: 2, plainTargets: 2 })
    const backup = fleet.store.backUp()
    const own = 'host-1'
    fleet.store.removeObject('servers', 'orders-1')
    await pause(800)
    backup.objectsByKind.get('acaciaweir-routers')?.delete(own)
    fleet.store.restore(backup)
    const left = fleet.targets.find((target) => target.options.id === 'orders-1')
    await pause(3500)
    for (let count = 0; count < 20; count++) await fleet.call(count % 2, '/stock/1')
    expect(left?.runs).to.deep.equal([])
    await fleets.eventually(() => fleet.store.readSpec('acaciaweir-routers', own) !== undefined)
  })
})

describe('targets known from another gateway', () => {
  const cases: Array<{ name: string, known: [epoch: number, revision: number], heard: [epoch: number, revision: number], isTaken: boolean }> = [
    { name: 'are taken with a higher revision', known: [2, 80], heard: [2, 81], isTaken: true },
    { name: 'are not taken with the same revision', known: [2, 80], heard: [2, 80], isTaken: false },
    { name: 'are taken with a lower revision of a later epoch', known: [2, 80], heard: [3, 12], isTaken: true },
    { name: 'are not taken with a higher revision of an earlier epoch', known: [3, 12], heard: [2, 80], isTaken: false }
  ]
  for (const { name, known, heard, isTaken } of cases) {
    it(name, () => {
      const board = new decisions.targetBoard.TargetBoard()
      const watch = new targetWatches.TargetWatch({ store: new stores.FakePageStore(), clock: new stores.ManualClock() as decisions.clock.Clock, logger: runtime.logging.createLogger('silent'), pauseMs: () => 0 }, board, new decisions.coldTargets.ColdTargets(() => undefined, () => {}))
      watch.applyFromPeer([], { epoch: known[0], revision: known[1] })
      watch.applyFromPeer([{ id: 'engine-1', service: 'engines', address: '10.0.0.1:1', availabilityZone: 'zone-a', slots: 4, leaving: false }], { epoch: heard[0], revision: heard[1] })
      expect(board.entries().length).to.equal(isTaken ? 1 : 0)
    })
  }
})

const TOTAL = 1000

/** Gateways that draw from one page, and that hear from each other after each step. */
class DrawingFleet {
  readonly store: stores.FakePageStore
  readonly clock = new stores.ManualClock()
  /** Tokens that gateways drew and did not return, also of those that have ended. */
  held = 0
  readonly #gateways: Array<{ incarnation: string, pages: tokenPageClients.TokenPageClient, connection: stores.PageStoreConnection, tokens: number }> = []
  #started = 0

  constructor (outcomes: stores.WriteOutcome[]) {
    this.store = new stores.FakePageStore(outcomes)
  }

  /** Starts a gateway in place of the one at the index, if there is one. Tokens that this one holds are lost. */
  async start (index: number): Promise<void> {
    const incarnation = `gateway-${index}-${this.#started++}`
    const connection = new stores.PageStoreConnection(this.store)
    const gateway = {
      incarnation,
      connection,
      tokens: 0,
      pages: new tokenPageClients.TokenPageClient({
        incarnation,
        store: connection,
        clock: this.clock as decisions.clock.Clock,
        logger: runtime.logging.createLogger('silent'),
        prepaidTotals: () => ({ version: 1, totals: { depot: TOTAL } }),
        random: new decisions.random.SeededRandom(1),
        knowledge: {
          isEarlierPageKnown: (epoch) => this.#gateways.some(({ pages }) => pages.pageEpoch > 0 && pages.pageEpoch < epoch),
          isPageComplete: (epoch) => this.#gateways.every(({ pages }) => pages.pageEpoch === 0 || pages.pageEpoch >= epoch)
        },
        onTokensCredited: (_account, tokens) => {
          gateway.tokens += tokens
          this.held += tokens
        }
      })
    }
    this.#gateways[index] = gateway
    await gateway.pages.ask(new Map())
  }

  async change (index: number, requested: number): Promise<void> {
    const gateway = this.#gateways[index]
    const tokens = requested < 0 ? Math.max(requested, -gateway.tokens) : requested
    if (tokens < 0) {
      gateway.tokens += tokens
      this.held += tokens
    }
    await gateway.pages.ask(new Map([['depot', tokens]]))
  }

  /** Tokens that the page of the newest epoch records as drawn. */
  get drawn (): number {
    const pages = [...this.store.backUp().pages.values()].map(({ value }) => value as decisions.tokenPage.TokenPage)
    return pages.sort((left, right) => (right.storeEpoch ?? 0) - (left.storeEpoch ?? 0))[0]?.drawn.depot ?? 0
  }

  /** Passes on what all gateways tell in their heartbeats. */
  exchangeHeartbeats (): void {
    const epoch = Math.max(...this.#gateways.map(({ connection }) => connection.epoch))
    for (const { incarnation, pages } of this.#gateways) {
      for (const other of this.#gateways) {
        if (pages.ownDraws().change > 0) other.pages.learnDraws(incarnation, pages.ownDraws())
        other.connection.learnEpoch(epoch)
      }
    }
  }

  /** Lets the gateways that know a page complete that of a new epoch. */
  async completePages (): Promise<void> {
    this.exchangeHeartbeats()
    for (const { connection, pages } of this.#gateways) {
      if (pages.pageEpoch > 0 && pages.pageEpoch < connection.epoch) await pages.ask(new Map())
    }
  }
}

/** Time of one step, in milliseconds. Longer than the backoff after a failed call. */
const STEP_MS = 900

/** Steps after a restored backup until all gateways have heard of it. */
const NEWS_STEPS = 3

describe('a token page that the store lost', () => {
  it('is completed before more is drawn, whichever writes are lost or late, and whichever gateways end', async () => {
    const outcome = fastCheck.constantFrom<stores.WriteOutcome>('done', 'done', 'done', 'refused', 'lost', 'lost-not-applied', 'late')
    const action = fastCheck.constantFrom('change', 'change', 'change', 'change', 'back up', 'restore', 'replace')
    const step = fastCheck.record({ action, gateway: fastCheck.nat(2), tokens: fastCheck.integer({ min: -200, max: 300 }) })
    await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(outcome, { maxLength: 40 }), fastCheck.array(step, { minLength: 5, maxLength: 50 }), async (outcomes, steps) => {
      const fleet = new DrawingFleet([...outcomes])
      for (const index of [0, 1, 2]) await fleet.start(index)
      let backup = fleet.store.backUp()
      let sinceRestore = Infinity
      for (const { action, gateway, tokens } of steps) {
        fleet.clock.time += STEP_MS
        sinceRestore += 1
        if (sinceRestore >= NEWS_STEPS) await fleet.completePages()
        if (action === 'change') await fleet.change(gateway, tokens)
        else if (action === 'back up') backup = fleet.store.backUp()
        else if (action === 'replace') {
          fleet.exchangeHeartbeats()
          await fleet.start(gateway)
        } else {
          fleet.store.restore(backup)
          sinceRestore = 0
        }
        expect(fleet.held).to.be.at.most(TOTAL)
      }
      await drawAll(fleet)
      expect(fleet.drawn).to.equal(TOTAL)
      expect(fleet.held).to.be.at.most(TOTAL)
    }), { seed: 20261205, numRuns: 1000 })
  })
})

/** Draws what the page has left, once nothing fails any more. */
async function drawAll (fleet: DrawingFleet): Promise<void> {
  for (let count = 0; count < 60 && fleet.drawn < TOTAL; count++) {
    fleet.clock.time += STEP_MS
    await fleet.completePages()
    await fleet.change(count % 3, TOTAL)
  }
}
