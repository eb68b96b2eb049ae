import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import type * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as pageStores from './fake-page-store.js'
import * as virtualClocks from './virtual-clock.js'
import * as fleetViews from '../src/fleet-view.js'
import * as peerTables from '../src/peer-table.js'
import * as tokenAllocators from '../src/token-allocator.js'
import * as tokenPageAccesses from '../src/token-page-access.js'
import * as tokenPageClients from '../src/token-page-client.js'

type StoreObject = platform.objectStore.StoreObject
type Outcome<Result> = platform.objectStore.StoreOutcome<Result>

/** Time that the store usually takes to answer, and that another gateway takes, in milliseconds. */
const STORE_ANSWER_MS = 6
const GATEWAY_ANSWER_MS = 3

/** Time until a call to a store out of reach fails, in milliseconds. */
const STORE_TIMEOUT_MS = 800

/** Times that a gateway waits for another one: as PeerTask does, in milliseconds. */
const TRANSFER_WAIT_MS = 150
const CALL_TIMEOUT_MS = 2000

const HEARTBEAT_INTERVAL_MS = 300
const HEARTBEATS_PER_ROUND = 2
const INTRODUCTIONS_PER_ROUND = 24
const WATCH_INTERVAL_MS = 1000

/** One gateway's way to the store that all share. */
class StoreLink extends platform.objectStore.ObjectStore {
  isCut = false
  /** Time that the store takes to answer, in milliseconds. */
  answerMs = STORE_ANSWER_MS
  readonly #shared: pageStores.FakePageStore
  readonly #clock: decisions.clock.Clock

  constructor (shared: pageStores.FakePageStore, clock: decisions.clock.Clock) {
    super()
    this.#shared = shared
    this.#clock = clock
  }

  override async read (kind: string, name: string): Promise<Outcome<StoreObject>> { return await this.#call(async () => await this.#shared.read(kind, name)) }
  override async list (): Promise<Outcome<platform.objectStore.ObjectList>> { return await this.#call(async () => await this.#shared.list()) }
  override async create (kind: string, name: string, value: unknown): Promise<Outcome<StoreObject>> { return await this.#call(async () => await this.#shared.create(kind, name, value)) }
  override async replace (kind: string, name: string, value: unknown, revision: number): Promise<Outcome<StoreObject>> { return await this.#call(async () => await this.#shared.replace(kind, name, value, revision)) }
  override async remove (): Promise<never> { throw new Error('StoreLink supports only read, list, create, replace and watch') }

  override async watch (): Promise<Outcome<platform.objectStore.ObjectEvents>> {
    return await this.#call(async () => ({ status: 'done', result: { events: [], revision: 0 } }))
  }

  async #call<Result> (call: () => Promise<Outcome<Result>>): Promise<Outcome<Result>> {
    const isCut = this.isCut
    await this.#clock.sleep(isCut ? STORE_TIMEOUT_MS : this.answerMs)
    const outcome = isCut ? undefined : await call()
    this.reportCallEnd(outcome?.status ?? 'unknown')
    if (outcome === undefined) return { status: 'unknown', step: 'call', reason: 'no answer' }
    this.learnEpoch(platform.objectStore.FIRST_EPOCH)
    return outcome
  }
}

/** What the requests of a replay met. Refusals count here only if the tokens were on the page or free at a live gateway. */
export interface Outcomes {
  reserved: number
  /** Refused with 503. */
  unreachable: number
  /** Refused with 402. */
  exhausted: number
}

/** One run of a gateway's process. */
class FleetGateway {
  readonly link: StoreLink
  readonly pool = new decisions.tokenPool.TokenPool()
  readonly peers: peerTables.PeerTable
  readonly view: fleetViews.FleetView
  readonly pageClient: tokenPageClients.TokenPageClient
  readonly allocator: tokenAllocators.TokenAllocator
  readonly #fleet: TokenFleet
  readonly #reach = new decisions.storeReach.StoreReach()
  readonly #incarnation: string
  readonly #name: string
  readonly #zone: string
  /** Transfers of which tokens may still come, by account. */
  readonly #lateTransfers = new Map<string, number>()
  isLeaving = false
  isEnded = false
  #sequence = 0
  #nextPeer: number

  constructor (fleet: TokenFleet, index: number, generation: number) {
    this.#fleet = fleet
    this.#name = String(index)
    this.#zone = `zone-${index % 3}`
    this.#incarnation = `${index}-${generation}`
    this.#nextPeer = index
    this.link = new StoreLink(fleet.store, fleet.clock)
    this.link.onCallEnd((status) => {
      const end = status === 'unknown' ? decisions.storeReach.CallEnd.unanswered : decisions.storeReach.CallEnd.answered
      if (this.#reach.record(end, fleet.clock.now())) this.announce()
    })
    this.peers = new peerTables.PeerTable(this.#name)
    for (let other = 0; other < fleet.size; other++) this.peers.addAddress(String(other), fleet.clock.now())
    this.view = new fleetViews.FleetView({ name: this.#name, availabilityZone: this.#zone, processorShare: 1 }, this.peers, fleet.clock, this.#reach, () => this.isLeaving)
    const random = new decisions.random.SeededRandom(index + 1000 * generation)
    const shared = { clock: fleet.clock, random, logger: runtime.logging.createLogger('silent'), prepaidTotals: () => ({ version: 1, totals: fleet.totals }) }
    this.pageClient = new tokenPageClients.TokenPageClient({ ...shared, knowledge: pageStores.completeKnowledge, incarnation: this.#incarnation, store: this.link, onTokensCredited: (account, tokens) => { this.pool.add(account, tokens) } })
    const page = new tokenPageAccesses.TokenPageAccess({
      ...shared,
      pageClient: this.pageClient,
      pool: this.pool,
      pageWriter: (failed) => this.view.pageWriter(failed),
      requestDraw: async (address, request) => await this.#ask(address, CALL_TIMEOUT_MS, async (other) => await other.allocator.handleDraw(request), () => {})
    })
    this.allocator = new tokenAllocators.TokenAllocator(this.pool, {
      ...shared,
      page,
      selfAddress: this.#name,
      policy: fleet.policy,
      isFleetKnown: () => this.view.isFleetKnown(),
      isStoreReachable: () => this.view.isStoreReachable(),
      holders: (account) => this.view.holders(account),
      requestTransfer: async (address, account, tokens) => await this.#requestTransfer(address, account, tokens),
      hasLateTransfer: (account) => (this.#lateTransfers.get(account) ?? 0) > 0,
      returnTokens: async (address, account, tokens) => { fleet.gateways[Number(address)].pool.add(account, tokens) }
    })
    this.allocator.start()
    void this.#sendHeartbeats()
    void this.#watch()
  }

  end (): void {
    this.isEnded = true
    this.allocator.stop()
  }

  async #requestTransfer (address: string, account: string, tokens: number): Promise<routers.gatewayMessages.TokenTransferReply | undefined> {
    const { clock } = this.#fleet
    const endOfLate = { isSeen: false }
    const endLate = (): void => {
      if (!endOfLate.isSeen) this.#countLateTransfer(account, -1)
      endOfLate.isSeen = true
    }
    const reply = await this.#ask(address, TRANSFER_WAIT_MS, async (other) => await other.allocator.handleTransfer({ transferId: '', account, tokens, asker: this.#name }), (late) => {
      endLate()
      this.pool.add(account, late.tokens)
    })
    if (reply === undefined) {
      this.#countLateTransfer(account, 1)
      void clock.sleep(CALL_TIMEOUT_MS - TRANSFER_WAIT_MS).then(endLate)
    }
    return reply
  }

  #countLateTransfer (account: string, change: number): void {
    this.#lateTransfers.set(account, (this.#lateTransfers.get(account) ?? 0) + change)
  }

  /** Answers of another gateway that come after the wait are handed to `onLate`. */
  async #ask<Reply> (address: string, waitMs: number, ask: (other: FleetGateway) => Promise<Reply>, onLate: (reply: Reply) => void): Promise<Reply | undefined> {
    const { clock, gateways } = this.#fleet
    const other = gateways[Number(address)]
    const answer = clock.sleep(GATEWAY_ANSWER_MS).then(async () => other.isEnded ? await new Promise<never>(() => {}) : await ask(other))
    let isLate = false
    void answer.then((reply) => { if (isLate) onLate(reply) })
    const reply = await Promise.race([answer, clock.sleep(waitMs).then(() => undefined)])
    isLate = reply === undefined
    return reply
  }

  async #sendHeartbeats (): Promise<void> {
    while (!this.isEnded) {
      for (const address of this.peers.takeUnheard(INTRODUCTIONS_PER_ROUND)) this.#exchange(this.#fleet.gateways[Number(address)])
      for (let count = 0; count < HEARTBEATS_PER_ROUND; count++) {
        this.#nextPeer = (this.#nextPeer + 1) % this.#fleet.size
        this.#exchange(this.#fleet.gateways[this.#nextPeer])
      }
      await this.#fleet.clock.sleep(HEARTBEAT_INTERVAL_MS)
    }
  }

  #exchange (other: FleetGateway | undefined): void {
    if (other === undefined || other === this || other.isEnded || this.isEnded) return
    other.peers.recordHeartbeat(this.heartbeat(), this.#fleet.clock.now())
    this.peers.recordHeartbeat(other.heartbeat(), this.#fleet.clock.now())
  }

  /** Sends a heartbeat to all gateways, as a change that can't wait. */
  announce (): void {
    for (const other of this.#fleet.gateways) if (other !== this && !other.isEnded) other.peers.recordHeartbeat(this.heartbeat(), this.#fleet.clock.now())
  }

  async #watch (): Promise<void> {
    while (!this.isEnded) {
      if (this.view.isFleetKnown() && this.view.hasWatchDuty(0)) await this.link.watch()
      await this.#fleet.clock.sleep(WATCH_INTERVAL_MS)
    }
  }

  heartbeat (): routers.gatewayMessages.GatewayHeartbeat {
    this.#sequence += 1
    const sender = { host: this.#name, incarnation: this.#incarnation, peerAddress: this.#name, callerAddress: '', availabilityZone: this.#zone, leaving: this.isLeaving, ready: true, load: 0, storeSilenceMs: 0, processorShare: 1, knowledgeAgeMs: 1, storeReach: this.#reach.state(this.#fleet.clock.now()) }
    return { sender, heard: this.peers.selectHeardGateways(this.#fleet.clock.now()), agreementVersion: 1, targetsRevision: 0, targetsEpoch: 1, storeEpoch: 1, pageEpoch: 1, drawnTokens: {}, drawnChange: 0, work: [], freeTokens: {}, spending: {}, leavingTargets: [], sequence: this.#sequence, asksForAnswer: false, promptParts: [], targetLimits: [], coldTargets: [], serviceUse: [], evacuatedZones: [], evacuationsRevision: 0, evacuationsEpoch: 0 }
  }
}

/** Accounts of a replay, and the load of their requests. */
export interface TokenLoad {
  largeAccounts: number
  smallAccounts: number
  requestsASecond: number
  /** Time for which the prepaid totals last, in seconds. */
  coveredSeconds: number
}

/** Tokens that a request reserves, and tokens that it spends. */
const WORST_CASE_TOKENS = 3000
export const TRUE_TOKENS = 2600
const REQUEST_DURATION_MS = 400

/** A request of eight seconds on a route with an objective of two. */
export const PATIENCE: tokenAllocators.Patience = { underWayMs: 250, isGone: () => false }

/** Load of a large account, as a multiple of that of a small one. */
const LARGE_WEIGHT = 20

/** Load of the first account, as a multiple of what its total is made for. What is held ahead of demand doesn't last through an outage. */
const FIRST_ACCOUNT_FACTOR = 3

/** Gateways that spend prepaid tokens on a virtual clock, each with its own view of the fleet and its own way to the store. */
export class TokenFleet {
  readonly clock = new virtualClocks.VirtualClock()
  readonly store = new pageStores.FakePageStore()
  readonly totals: Record<string, number>
  readonly outcomes: Outcomes = { reserved: 0, unreachable: 0, exhausted: 0 }
  readonly size: number
  readonly policy: decisions.tokenPool.PoolPolicy
  spent = 0
  gateways: FleetGateway[] = []
  readonly #requestsASecond: number
  readonly #random = new decisions.random.SeededRandom(7)
  #generation = 0

  constructor (size: number, { largeAccounts, smallAccounts, requestsASecond, coveredSeconds }: TokenLoad, policy = tokenAllocators.POOL_POLICY) {
    this.size = size
    this.policy = policy
    this.#requestsASecond = requestsASecond
    const weights = [...Array.from({ length: largeAccounts }, () => LARGE_WEIGHT), ...Array.from({ length: smallAccounts }, () => 1)]
    const sum = weights.reduce((left, right) => left + right, 0)
    this.totals = Object.fromEntries(weights.map((weight, index) => [`account-${index}`, Math.round(weight / sum * requestsASecond * coveredSeconds * TRUE_TOKENS)]))
    this.restartAll()
  }

  /** Ends all gateways without handing anything back, as a loss of power does, and starts new ones. */
  restartAll (): void {
    this.#generation += 1
    for (const gateway of this.gateways) gateway.end()
    this.gateways = []
    for (let index = 0; index < this.size; index++) this.gateways.push(new FleetGateway(this, index, this.#generation))
  }

  /** Lets a gateway leave as after SIGTERM, and starts another one at its place. */
  async restart (index: number, graceMs: number): Promise<void> {
    const leaving = this.gateways[index]
    leaving.isLeaving = true
    leaving.announce()
    void leaving.allocator.returnAllTokens()
    await this.clock.sleep(graceMs)
    await leaving.allocator.returnAllTokens()
    leaving.end()
    this.#generation += 1
    this.gateways[index] = new FleetGateway(this, index, this.#generation)
  }

  cut (indexes: readonly number[], isCut: boolean): void {
    for (const index of indexes) this.gateways[index].link.isCut = isCut
  }

  /** Plays until the promise has settled. */
  async settle<Result> (promise: Promise<Result>): Promise<Result> {
    const progress = { isSettled: false }
    void promise.finally(() => { progress.isSettled = true })
    while (!progress.isSettled) await this.clock.runUntil(this.clock.now() + STORE_ANSWER_MS)
    return await promise
  }

  /** Lets the store take a time to answer, in milliseconds, for all gateways. */
  slowDown (answerMs: number): void {
    for (const { link } of this.gateways) link.answerMs = answerMs
  }

  /** The first gateway that takes itself for an account's holder, its standby or a borrower, or for the one that writes the page. */
  indexOf (which: 'holder' | 'standby' | 'borrower' | 'writer', account = 'account-0'): number {
    const isWanted = ({ view }: FleetGateway): boolean => which === 'writer' ? view.pageWriter(new Set()) === undefined : view.holders(account).role === which
    return this.gateways.findIndex((gateway) => !gateway.isLeaving && isWanted(gateway))
  }

  /** Tokens that all gateways together have drawn and not returned. */
  drawn (account: string): number {
    return (this.store.page?.value as decisions.tokenPage.TokenPage | undefined)?.drawn[account] ?? 0
  }

  /** Free tokens of an account at all gateways together. */
  free (account: string): number {
    return this.gateways.reduce((sum, { pool }) => sum + pool.freeTokens(account), 0)
  }

  /** Free tokens of an account at all gateways together, as a share of those that are not spent yet. */
  heldShare (account: string): number {
    const free = this.free(account)
    return free / (free + this.totals[account] - this.drawn(account))
  }

  /** Tokens that were drawn and are neither spent nor held by a live gateway; negative if more was spent than drawn. */
  lostTokens (): number {
    const drawn = Object.keys(this.totals).reduce((sum, account) => sum + this.drawn(account), 0)
    const held = this.gateways.reduce((sum, { pool }) => sum + [...pool.levels().values()].reduce((total, { free, reserved }) => total + free + reserved, 0), 0)
    return drawn - held - this.spent
  }

  /** Sends requests from now until the given time, in milliseconds. */
  async load (until: number): Promise<void> {
    const accounts = Object.entries(this.totals).map(([account, tokens], index): [string, number] => [account, index === 0 ? FIRST_ACCOUNT_FACTOR * tokens : tokens])
    const sum = accounts.reduce((total, [, tokens]) => total + tokens, 0)
    while (this.clock.now() < until) {
      let position = this.#random.integer(sum)
      const [account] = accounts.find(([, tokens]) => (position -= tokens) < 0) ?? accounts[0]
      const serving = this.gateways.filter((gateway) => !gateway.isLeaving)
      void this.#request(account, serving[this.#random.integer(serving.length)])
      await this.clock.sleep(1000 / this.#requestsASecond)
    }
  }

  async #request (account: string, gateway: FleetGateway): Promise<void> {
    const outcome = await gateway.allocator.reserve(account, WORST_CASE_TOKENS, PATIENCE)
    if (gateway.isEnded) return
    if (outcome !== tokenAllocators.ReserveOutcome.reserved) {
      const isThere = this.totals[account] - this.drawn(account) + this.free(account) >= WORST_CASE_TOKENS
      if (isThere) this.outcomes[outcome] += 1
      return
    }
    this.outcomes.reserved += 1
    await this.clock.sleep(REQUEST_DURATION_MS)
    if (gateway.isEnded) return
    gateway.allocator.settle(account, WORST_CASE_TOKENS, TRUE_TOKENS)
    this.spent += TRUE_TOKENS
  }
}
