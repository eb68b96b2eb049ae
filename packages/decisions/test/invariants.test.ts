// Guards against serving tokens that were never drawn from a budget, drawing more than its cap, and billing a request twice.
// These faults arise when grants, lost answers, crashes, seals and recoveries interleave, so random sequences of them run
// against a model of routers, witnesses and one ledger page.
import * as chai from 'chai'
import * as fastCheck from 'fast-check'
import * as allotments from '../src/allotment-tracker.js'
import * as journal from '../src/journal.js'
import * as ledgerPage from '../src/ledger-page.js'
import type * as types from '../src/journal-types.js'
import * as witnesses from '../src/witness-store.js'

const TOTAL_TOKENS = 400
const CAP_TOKENS = 300
const WITNESS_COUNT = 3
const key = { budget: 'shared', account: 'alpha' }

/** A router of the model: its allotment, its stored journal, and the records that the journal does not contain yet. */
interface ModelRouter {
  name: string
  allotment: allotments.AllotmentTracker
  stored: types.Journal
  pending: types.LogRecord[]
  sequence: number
  open: Map<string, number>
}

/** Routers, witnesses and one ledger page, changed by random steps. Counts every served token. */
class Model {
  page = ledgerPage.emptyPage('shared', { generation: 1, totalTokens: TOTAL_TOKENS, capTokens: { alpha: CAP_TOKENS } })
  served = 0
  billCounts = new Map<string, number>()
  /** Requests that the target has run, as it reports them to a recovery. */
  readonly ran = new Set<string>()
  readonly routers: ModelRouter[] = []
  readonly stores = Array.from({ length: WITNESS_COUNT }, () => new witnesses.WitnessStore())
  #startCount = 0
  #requestCount = 0

  startRouter (): void {
    this.#startCount += 1
    const name = `r${this.#startCount}`
    const witnessNames = this.stores.map((_store, index) => `w${index}`)
    const owner = { incarnation: name, host: name, availabilityZone: 'a', peerAddress: '', process: name }
    this.routers.push({ name, allotment: new allotments.AllotmentTracker(), stored: journal.createJournal(owner, witnessNames), pending: [], sequence: 0, open: new Map() })
  }

  refill (router: ModelRouter, tokens: number, isAnswerLost: boolean): void {
    const result = ledgerPage.grant(this.page, router.name, key.account, tokens)
    this.page = result.page
    if (!isAnswerLost) router.allotment.mergeCounters(key, ledgerPage.grantCounters(this.page, router.name, key.account))
  }

  returnTokens (router: ModelRouter, tokens: number, isWritten: boolean): void {
    const returned = router.allotment.markReturned(key, tokens)
    if (isWritten) this.page = ledgerPage.recordReturn(this.page, router.name, key.account, returned)
  }

  /** Reserves and records a request. It is dispatched and served only if a quorum of witnesses holds the record. */
  dispatch (router: ModelRouter, tokens: number, reachable: boolean[]): void {
    this.#requestCount += 1
    const requestId = `q${this.#requestCount}`
    if (router.allotment.reserve(key, requestId, tokens) === undefined) return
    const intent = { requestId, ...key, target: 'e', reservedTokens: tokens, reservedPromptTokens: 0, openedAtMs: 0, key: requestId, repeatable: true }
    if (!this.#record(router, { kind: 'open', sequence: ++router.sequence, intent }, reachable)) {
      router.allotment.settle(requestId, 0, 0)
      router.pending.push({ kind: 'not-run', sequence: ++router.sequence, requestId })
      return
    }
    this.served += tokens
    this.ran.add(requestId)
    router.open.set(requestId, tokens)
  }

  bill (router: ModelRouter, reachable: boolean[]): void {
    const [first] = router.open
    if (first === undefined) return
    const [requestId, tokens] = first
    router.open.delete(requestId)
    router.allotment.settle(requestId, tokens, 0)
    this.#record(router, { kind: 'billed', sequence: ++router.sequence, bill: this.#billOf(requestId, tokens) }, reachable)
  }

  writeJournal (router: ModelRouter): void {
    if (router.stored.state !== 'active') return
    for (const record of router.pending.splice(0)) journal.applyRecord(router.stored, record)
  }

  /**
   * Seals a router's journal, gathers records from the reachable witnesses, settles open requests by the target's report and
   * folds the journal into the page. The router itself may keep running.
   */
  recover (router: ModelRouter, reachable: boolean[]): void {
    router.stored = journal.seal(router.stored)
    const tails = new Map<string, types.LogRecord[]>()
    this.stores.forEach((store, index) => { if (reachable[index]) tails.set(`w${index}`, store.seal(router.name)) })
    const gathered = journal.gather(router.stored, tails)
    if (gathered === undefined) return
    for (const intent of Object.values(gathered.open)) {
      if (this.ran.has(intent.requestId)) journal.settleIntent(gathered, this.#billOf(intent.requestId, intent.reservedTokens))
      else journal.dropIntent(gathered, intent.requestId)
    }
    router.stored = gathered
    router.open.clear()
    this.page = ledgerPage.foldIncarnation(this.page, router.name, gathered.spent[key.budget] ?? {})
    for (const bill of gathered.bills) this.billCounts.set(bill.requestId, (this.billCounts.get(bill.requestId) ?? 0) + 1)
  }

  #record (router: ModelRouter, record: types.LogRecord, reachable: boolean[]): boolean {
    router.pending.push(record)
    const holding = this.stores.filter((store, index) => reachable[index] && !store.hold(router.name, router.pending, router.stored.sequence).sealed)
    return holding.length >= journal.witnessQuorum(WITNESS_COUNT)
  }

  #billOf (requestId: string, tokens: number): types.Bill {
    return { requestId, ...key, target: 'e', key: requestId, promptTokens: 0, completionTokens: tokens, outcome: 'complete' }
  }
}

const mostlyTrueArbitrary = fastCheck.integer({ min: 0, max: 3 }).map((value) => value > 0)
const reachableArbitrary = fastCheck.array(mostlyTrueArbitrary, { minLength: WITNESS_COUNT, maxLength: WITNESS_COUNT })
const stepArbitrary = fastCheck.record({
  kind: fastCheck.constantFrom('start', 'refill', 'return', 'dispatch', 'dispatch', 'dispatch', 'bill', 'write-journal', 'recover'),
  router: fastCheck.nat(4),
  tokens: fastCheck.integer({ min: 1, max: 90 }),
  flag: fastCheck.boolean(),
  reachable: reachableArbitrary
})

type Step = typeof stepArbitrary extends fastCheck.Arbitrary<infer Value> ? Value : never

function applyStep (model: Model, step: Step): void {
  if (step.kind === 'start') { model.startRouter(); return }
  const router = model.routers[step.router % model.routers.length]
  if (step.kind === 'refill') model.refill(router, step.tokens, step.flag)
  if (step.kind === 'return') model.returnTokens(router, step.tokens, step.flag)
  if (step.kind === 'dispatch') model.dispatch(router, step.tokens, step.reachable)
  if (step.kind === 'bill') model.bill(router, step.reachable)
  if (step.kind === 'write-journal') model.writeJournal(router)
  if (step.kind === 'recover') model.recover(router, step.reachable)
}

describe('budget invariants under random grants, crashes, seals and lost answers', () => {
  it('never serves more tokens than are drawn, never draws more than the cap, and never bills a request twice', () => {
    fastCheck.assert(fastCheck.property(fastCheck.array(stepArbitrary, { minLength: 5, maxLength: 150, size: 'max' }), (steps) => {
      const model = new Model()
      model.startRouter()
      model.startRouter()
      for (const step of steps) {
        applyStep(model, step)
        chai.expect(model.served).to.be.at.most(ledgerPage.totalDrawn(model.page))
        chai.expect(ledgerPage.totalDrawn(model.page)).to.be.at.most(CAP_TOKENS)
        for (const count of model.billCounts.values()) chai.expect(count).to.equal(1)
      }
    }), { seed: 20261204, numRuns: 400 })
  })
})
