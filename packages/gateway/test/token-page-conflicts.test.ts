// The load of hundreds of gateways on the one token page: every account is used at all gateways, and the store is away for a while. Guards
// against writes that keep meeting each other's revision, holders that run short because of it, and requests that are refused as
// unreachable though the page has tokens.
import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import type * as platform from '@acaciaweir/platform'
import * as chai from 'chai'
import * as stores from './fake-page-store.js'
import * as virtualClocks from './virtual-clock.js'
import * as tokenPageAccesses from '../src/token-page-access.js'
import * as tokenPageClients from '../src/token-page-client.js'
import * as tokenAllocators from '../src/token-allocator.js'
import type * as tokenTypes from '../src/token-types.js'

const { expect } = chai

/** Time that the store and another gateway take to answer, in milliseconds. */
const STORE_ANSWER_MS = 6
const GATEWAY_ANSWER_MS = 3

/** Time until an unreachable store fails a call, in milliseconds. */
const STORE_TIMEOUT_MS = 800

/** Time by which a request must begin before an outage, or after one, to count as sent while the store answers, in milliseconds. */
const REQUEST_MARGIN_MS = 400
const RECOVERY_MARGIN_MS = 2000

/** Times of the replay, in milliseconds: requests begin after the gateways have started, and the store is away later on. */
const LOAD_FROM_MS = 4000
const OUTAGE_FROM_MS = 9000
const OUTAGE_TO_MS = 17_000
const END_MS = 21_000

const REQUESTS_A_SECOND = 300
const REQUEST_DURATION_MS = 400

/** Prepaid totals cover the requests of this many seconds. */
const COVERED_SECONDS = 45

/** Tokens that a request reserves, and tokens that it spends. */
const WORST_CASE_TOKENS = 3000
const TRUE_TOKENS = 2600

/** The token page in a store that takes time to answer, and counts which writes took effect. */
class SlowPageStore extends stores.FakePageStore {
  readonly #clock: decisions.clock.Clock
  writes = 0
  effectiveWrites = 0

  constructor (clock: decisions.clock.Clock) {
    super()
    this.#clock = clock
  }

  override async read (kind: string, name: string): Promise<platform.objectStore.StoreOutcome<platform.objectStore.StoreObject>> {
    await this.#answerTime()
    return await super.read(kind, name)
  }

  override async list (): Promise<platform.objectStore.StoreOutcome<platform.objectStore.ObjectList>> {
    await this.#answerTime()
    return await super.list()
  }

  override async create (kind: string, name: string, value: unknown): Promise<platform.objectStore.StoreOutcome<platform.objectStore.StoreObject>> {
    return await this.#count(() => super.create(kind, name, value))
  }

  override async replace (kind: string, name: string, value: unknown, revision: number): Promise<platform.objectStore.StoreOutcome<platform.objectStore.StoreObject>> {
    return await this.#count(() => super.replace(kind, name, value, revision))
  }

  async #count (write: () => Promise<platform.objectStore.StoreOutcome<platform.objectStore.StoreObject>>): Promise<platform.objectStore.StoreOutcome<platform.objectStore.StoreObject>> {
    await this.#answerTime()
    const outcome = await write()
    if (!this.isDown) this.writes += 1
    if (outcome.status === 'done') this.effectiveWrites += 1
    return outcome
  }

  async #answerTime (): Promise<void> {
    await this.#clock.sleep(this.isDown ? STORE_TIMEOUT_MS : STORE_ANSWER_MS)
  }
}

interface SimulatedGateway {
  pool: decisions.tokenPool.TokenPool
  task: tokenAllocators.TokenAllocator
}

/** Gateways that all know each other, and the requests of many accounts that are spread over all of them. */
class FleetReplay {
  readonly clock = new virtualClocks.VirtualClock()
  readonly store = new SlowPageStore(this.clock)
  readonly totals: Record<string, number>
  readonly outcomes = { reachable: new Map<string, number>(), away: new Map<string, number>() }
  readonly #names: string[]
  readonly #drawing: string[]
  readonly #gateways: SimulatedGateway[]
  readonly #random = new decisions.random.SeededRandom(7)

  constructor (gateways: number, accounts: number) {
    // The largest account has a good part of the load, as a few large ones do on a usual day.
    const weights = Array.from({ length: accounts }, (_value, index) => 1 / (index + 1))
    const sum = weights.reduce((left, right) => left + right, 0)
    this.totals = Object.fromEntries(weights.map((weight, index) => [`account-${index}`, Math.round(weight / sum * REQUESTS_A_SECOND * COVERED_SECONDS * TRUE_TOKENS)]))
    this.#names = Array.from({ length: gateways }, (_value, index) => String(index))
    this.#drawing = decisions.tokenHolders.selectDrawingRouters(this.#names.map((name, index) => ({ name, availabilityZone: `zone-${index % 5}`, processorShare: index % 13 === 0 ? 1.35 : 0.324 })))
    this.#gateways = this.#names.map((_name, index) => this.#createGateway(index))
    for (const { task } of this.#gateways) task.start()
  }

  /** Free tokens of an account at all gateways together. */
  held (account: string): number {
    return this.#gateways.reduce((sum, { pool }) => sum + pool.freeTokens(account), 0)
  }

  async play (): Promise<void> {
    await this.clock.runUntil(LOAD_FROM_MS)
    void this.#sendRequests()
    await this.clock.runUntil(OUTAGE_FROM_MS)
    this.store.isDown = true
    await this.clock.runUntil(OUTAGE_TO_MS)
    this.store.isDown = false
    await this.clock.runUntil(END_MS)
    for (const { task } of this.#gateways) task.stop()
  }

  share (outcomes: Map<string, number>, outcome: string): number {
    return (outcomes.get(outcome) ?? 0) / [...outcomes.values()].reduce((left, right) => left + right, 0)
  }

  async #sendRequests (): Promise<void> {
    const cumulative = Object.entries(this.totals)
    const sum = cumulative.reduce((total, [, tokens]) => total + tokens, 0)
    while (this.clock.now() < END_MS - 1000) {
      let drawn = this.#random.integer(sum)
      const [account] = cumulative.find(([, tokens]) => (drawn -= tokens) < 0) ?? cumulative[0]
      void this.#request(account, this.#gateways[this.#random.integer(this.#gateways.length)].task)
      await this.clock.sleep(1000 / REQUESTS_A_SECOND)
    }
  }

  async #request (account: string, task: tokenAllocators.TokenAllocator): Promise<void> {
    const startedAt = this.clock.now()
    const outcome = await task.reserve(account, WORST_CASE_TOKENS)
    const outcomes = isStoreReachable(startedAt) ? this.outcomes.reachable : this.outcomes.away
    outcomes.set(outcome, (outcomes.get(outcome) ?? 0) + 1)
    if (outcome !== tokenAllocators.ReserveOutcome.reserved) return
    await this.clock.sleep(REQUEST_DURATION_MS)
    task.settle(account, WORST_CASE_TOKENS, TRUE_TOKENS)
  }

  #holders (account: string, index: number): tokenTypes.AccountHolders {
    const { role, othersToAsk } = decisions.tokenHolders.assignTokenRole(account, String(index), this.#drawing)
    return { role, otherHolders: othersToAsk.map((name) => ({ peerAddress: name, freeTokens: undefined, spending: undefined })) }
  }

  #createGateway (index: number): SimulatedGateway {
    const pool = new decisions.tokenPool.TokenPool()
    const shared = { clock: this.clock, logger: runtime.logging.createLogger('silent'), random: new decisions.random.SeededRandom(index), prepaidTotals: () => ({ version: 1, totals: this.totals }) }
    const pageClient = new tokenPageClients.TokenPageClient({ ...shared, knowledge: stores.completeKnowledge, incarnation: `gateway-${index}`, store: this.store, onTokensCredited: (account, tokens) => { pool.add(account, tokens) } })
    const task = new tokenAllocators.TokenAllocator(pool, {
      ...shared,
      selfAddress: String(index),
      policy: tokenAllocators.POOL_POLICY,
      page: new tokenPageAccesses.TokenPageAccess({
        pageClient,
        pool,
        clock: this.clock,
        logger: shared.logger,
        random: shared.random,
        pageWriter: () => {
          const [writer] = decisions.tokenHolders.orderPageWriters(this.#drawing.map((name) => ({ name, reach: decisions.storeReach.ReachState.unknown })), this.#drawing)
          return writer === String(index) ? undefined : writer
        },
        requestDraw: async (peerAddress, request) => {
          await this.clock.sleep(GATEWAY_ANSWER_MS)
          return await this.#gateways[Number(peerAddress)].task.handleDraw(request)
        }
      }),
      isFleetKnown: () => true,
      isStoreReachable: () => true,
      holders: (account) => this.#holders(account, index),
      requestTransfer: async (peerAddress, account, tokens) => {
        await this.clock.sleep(GATEWAY_ANSWER_MS)
        return await this.#gateways[Number(peerAddress)].task.handleTransfer({ transferId: '', account, tokens, asker: String(index) })
      },
      hasLateTransfer: () => false,
      returnTokens: async (peerAddress, account, tokens) => { this.#gateways[Number(peerAddress)].pool.add(account, tokens) }
    })
    return { pool, task }
  }
}

function isStoreReachable (time: number): boolean {
  return time < OUTAGE_FROM_MS - REQUEST_MARGIN_MS || time > OUTAGE_TO_MS + RECOVERY_MARGIN_MS
}

const cases: Array<{ gateways: number, accounts: number }> = [
  { gateways: 195, accounts: 40 },
  { gateways: 19, accounts: 40 }
]

for (const { gateways, accounts } of cases) {
  describe(`the token page under the load of ${gateways} gateways and ${accounts} accounts`, () => {
    let replay: FleetReplay
    let leastHeldShare: number
    before(async () => {
      replay = new FleetReplay(gateways, accounts)
      await replay.clock.runUntil(2500)
      leastHeldShare = Math.min(...Object.entries(replay.totals).map(([account, total]) => replay.held(account) / total))
      await replay.play()
    })

    it('is written by holders that reach their level soon after their start', () => {
      expect(leastHeldShare).to.be.at.least(0.25)
    })

    it('is written with effect nine times in ten', () => {
      expect(replay.store.writes).to.be.greaterThan(20)
      expect(replay.store.effectiveWrites / replay.store.writes).to.be.at.least(0.9)
    })

    it('leaves no request unserved while the store answers', () => {
      expect(replay.share(replay.outcomes.reachable, 'reserved')).to.equal(1)
    })

    it('lets the holders serve 97 % of the requests while the store is away for eight seconds', () => {
      expect(replay.share(replay.outcomes.away, 'reserved')).to.be.at.least(0.97)
    })
  })
}
