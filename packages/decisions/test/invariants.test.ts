import * as chai from 'chai'
import * as fastCheck from 'fast-check'
import * as allotment from '../src/allotment-book.js'
import * as journal from '../src/journal.js'
import * as ledgerPage from '../src/ledger-page.js'
import type * as types from '../src/journal-types.js'
import * as witnesses from '../src/witness-store.js'

const TOTAL_TOKENS = 400
const CAP_TOKENS = 300
const WITNESS_COUNT = 3
const key = { budget: 'shared', account: 'alpha' }

/** One router of the model: its book, its journal in the platform, and records on their way to the witnesses. */
interface ModelRouter {
  name: string
  book: allotment.AllotmentBook
  stored: types.Journal
  pending: types.LogRecord[]
  sequence: number
  open: Map<string, number>
}

/** Routers, witnesses and one ledger page, moved by random steps; every served token is counted. */
class Model {
  page = ledgerPage.emptyPage('shared', { generation: 1, totalTokens: TOTAL_TOKENS, capTokens: { alpha: CAP_TOKENS } })
  served = 0
  billed = new Map<string, number>()
  /** What the target knows: the requests that it ran. */
  readonly ran = new Set<string>()
  readonly routers: ModelRouter[] = []
  readonly stores = Array.from({ length: WITNESS_COUNT }, () => new witnesses.WitnessStore())
  #starts = 0
  #requests = 0

  start (): void {
    this.#starts += 1
    const name = `r${this.#starts}`
    const names = this.stores.map((_store, index) => `w${index}`)
    const owner = { incarnation: name, host: name, availabilityZone: 'a', peerAddress: '', process: name }
    this.routers.push({ name, book: new allotment.AllotmentBook(), stored: journal.startJournal(owner, names), pending: [], sequence: 0, open: new Map() })
  }

  refill (router: ModelRouter, wanted: number, answerLost: boolean): void {
    const result = ledgerPage.grant(this.page, router.name, key.account, wanted)
    this.page = result.page
    if (!answerLost) router.book.adopt(key, ledgerPage.countersOf(this.page, router.name, key.account))
  }

  giveBack (router: ModelRouter, tokens: number, written: boolean): void {
    const returned = router.book.release(key, tokens)
    if (written) this.page = ledgerPage.giveBack(this.page, router.name, key.account, returned)
  }

  /** Reserves and records a request; it is dispatched, and served, only where a quorum of witnesses takes the record. */
  request (router: ModelRouter, tokens: number, reached: boolean[]): void {
    this.#requests += 1
    const requestId = `q${this.#requests}`
    if (router.book.reserve(key, requestId, tokens) === undefined) return
    const intent = { requestId, ...key, target: 'e', reservedTokens: tokens, reservedPromptTokens: 0, openedAtMs: 0, key: requestId, repeatable: true }
    if (!this.#record(router, { kind: 'open', sequence: ++router.sequence, intent }, reached)) {
      router.book.settle(requestId, 0, 0)
      router.pending.push({ kind: 'not-run', sequence: ++router.sequence, requestId })
      return
    }
    this.served += tokens
    this.ran.add(requestId)
    router.open.set(requestId, tokens)
  }

  finish (router: ModelRouter, reached: boolean[]): void {
    const [first] = router.open
    if (first === undefined) return
    const [requestId, tokens] = first
    router.open.delete(requestId)
    router.book.settle(requestId, tokens, 0)
    this.#record(router, { kind: 'billed', sequence: ++router.sequence, bill: this.#bill(requestId, tokens) }, reached)
  }

  flush (router: ModelRouter): void {
    if (router.stored.state !== 'active') return
    for (const record of router.pending.splice(0)) journal.applyRecord(router.stored, record)
  }

  /** Seals, gathers from the witnesses that answer, settles what is open with the target's count, and folds. The router itself may run on. */
  recover (router: ModelRouter, reached: boolean[]): void {
    router.stored = journal.seal(router.stored)
    const tails = new Map<string, types.LogRecord[]>()
    this.stores.forEach((store, index) => { if (reached[index]) tails.set(`w${index}`, store.seal(router.name)) })
    const gathered = journal.gather(router.stored, tails)
    if (gathered === undefined) return
    for (const intent of Object.values(gathered.open)) {
      if (this.ran.has(intent.requestId)) journal.settleIntent(gathered, this.#bill(intent.requestId, intent.reservedTokens))
      else journal.dropIntent(gathered, intent.requestId)
    }
    router.stored = gathered
    router.open.clear()
    this.page = ledgerPage.foldIncarnation(this.page, router.name, gathered.spent[key.budget] ?? {})
    for (const bill of gathered.bills) this.billed.set(bill.requestId, (this.billed.get(bill.requestId) ?? 0) + 1)
  }

  #record (router: ModelRouter, record: types.LogRecord, reached: boolean[]): boolean {
    router.pending.push(record)
    const held = this.stores.filter((store, index) => reached[index] && !store.hold(router.name, router.pending, router.stored.sequence).sealed)
    return held.length >= journal.witnessQuorum(WITNESS_COUNT)
  }

  #bill (requestId: string, tokens: number): types.Bill {
    return { requestId, ...key, target: 'e', key: requestId, promptTokens: 0, completionTokens: tokens, outcome: 'complete' }
  }
}

const mostlyArbitrary = fastCheck.integer({ min: 0, max: 3 }).map((value) => value > 0)
const reachedArbitrary = fastCheck.array(mostlyArbitrary, { minLength: WITNESS_COUNT, maxLength: WITNESS_COUNT })
const stepArbitrary = fastCheck.record({
  kind: fastCheck.constantFrom('start', 'refill', 'give-back', 'request', 'request', 'request', 'finish', 'flush', 'recover'),
  router: fastCheck.nat(4),
  tokens: fastCheck.integer({ min: 1, max: 90 }),
  flag: fastCheck.boolean(),
  reached: reachedArbitrary
})

type Step = typeof stepArbitrary extends fastCheck.Arbitrary<infer Value> ? Value : never

function apply (model: Model, step: Step): void {
  if (step.kind === 'start') { model.start(); return }
  const router = model.routers[step.router % model.routers.length]
  if (step.kind === 'refill') model.refill(router, step.tokens, step.flag)
  if (step.kind === 'give-back') model.giveBack(router, step.tokens, step.flag)
  if (step.kind === 'request') model.request(router, step.tokens, step.reached)
  if (step.kind === 'finish') model.finish(router, step.reached)
  if (step.kind === 'flush') model.flush(router)
  if (step.kind === 'recover') model.recover(router, step.reached)
}

describe('invariants under random grants, kills, seals and lost answers', () => {
  it('serves never more than is drawn, grants never more than the total, bills nothing twice', () => {
    fastCheck.assert(fastCheck.property(fastCheck.array(stepArbitrary, { minLength: 5, maxLength: 150, size: 'max' }), (steps) => {
      const model = new Model()
      model.start()
      model.start()
      for (const step of steps) {
        apply(model, step)
        chai.expect(model.served).to.be.at.most(ledgerPage.drawnInTotal(model.page))
        chai.expect(ledgerPage.drawnInTotal(model.page)).to.be.at.most(CAP_TOKENS)
        for (const times of model.billed.values()) chai.expect(times).to.equal(1)
      }
    }), { seed: 20261204, numRuns: 400 })
  })
})
