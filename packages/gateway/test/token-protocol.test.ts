import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import * as fastCheck from 'fast-check'
import * as stores from './fake-page-store.js'
import * as tokenPageClients from '../src/token-page-client.js'

// A budget is overspent where a token is held twice: drawn by a write that is not known to have taken effect, returned and spent, or given to another
// gateway and kept. Three gateways draw, return, transfer, spend, die and start again in any order, while writes are refused, lost or late.

const { expect } = chai

const TOTALS: Record<string, number> = { large: 1000, small: 100 }
const ACCOUNTS = Object.keys(TOTALS)
const GATEWAYS = 3
const RUNS = 300

/** One run of a gateway's process. */
class Process {
  readonly pool = new decisions.tokenPool.TokenPool()
  readonly pages: tokenPageClients.TokenPageClient

  constructor (store: stores.FakePageStore, clock: stores.ManualClock, incarnation: string) {
    this.pages = new tokenPageClients.TokenPageClient({
      incarnation,
      store,
      clock,
      knowledge: stores.completeKnowledge,
      random: new decisions.random.SeededRandom(1),
      logger: runtime.logging.createLogger('silent'),
      prepaidTotals: () => ({ version: 1, totals: TOTALS }),
      onTokensCredited: (account, tokens) => { this.pool.add(account, tokens) }
    })
  }
}

/** The gateways and the store, together with what was spent. */
class Fleet {
  readonly clock = new stores.ManualClock()
  readonly writeOutcomes: stores.WriteOutcome[] = []
  readonly store = new stores.FakePageStore(this.writeOutcomes)
  readonly processes: Process[] = []
  readonly spent = new Map<string, number>()
  /** Tokens that left a pool for another gateway, whose answer may still come, by account. */
  readonly inTransit: Array<{ to: Process, account: string, tokens: number }> = []
  #starts = 0

  constructor () {
    for (let index = 0; index < GATEWAYS; index++) this.restart(index)
  }

  restart (index: number): void {
    this.#starts += 1
    this.processes[index] = new Process(this.store, this.clock, `${index}-${this.#starts}`)
  }

  check (): void {
    const page = this.store.page?.value as decisions.tokenPage.TokenPage | undefined
    for (const account of ACCOUNTS) {
      const drawn = page?.drawn[account] ?? 0
      const held = this.processes.reduce((sum, { pool }) => sum + pool.freeTokens(account), 0)
      const moving = this.inTransit.reduce((sum, transfer) => sum + (transfer.account === account ? transfer.tokens : 0), 0)
      const spent = this.spent.get(account) ?? 0
      expect(spent, `${account} spent`).to.be.at.most(TOTALS[account])
      expect(drawn, `${account} drawn`).to.be.at.most(TOTALS[account])
      expect(spent + held + moving, `${account} spent and held`).to.be.at.most(drawn)
    }
  }
}

interface Step {
  name: string
  run: (fleet: Fleet) => Promise<void>
}

class StepCommand implements fastCheck.AsyncCommand<object, Fleet> {
  readonly #step: Step

  constructor (step: Step) {
    this.#step = step
  }

  check (): boolean { return true }

  async run (_model: object, fleet: Fleet): Promise<void> {
    await this.#step.run(fleet)
    fleet.check()
  }

  toString (): string { return this.#step.name }
}

const gateway = fastCheck.nat(GATEWAYS - 1)
const account = fastCheck.constantFrom(...ACCOUNTS)
const tokens = fastCheck.integer({ min: 1, max: 400 })
const writeOutcome = fastCheck.constantFrom(...Object.values(stores.WriteOutcome))

async function change (fleet: Fleet, index: number, changes: Map<string, number>, outcome: stores.WriteOutcome): Promise<void> {
  fleet.writeOutcomes.splice(0, Infinity, outcome)
  // The gateway has stopped backing off after an earlier failure.
  fleet.clock.time += 2000
  await fleet.processes[index].pages.ask(changes)
}

const steps = [
  fastCheck.record({ gateway, account, tokens, writeOutcome }).map((drawn): Step => ({
    name: `draw ${JSON.stringify(drawn)}`,
    run: async (fleet) => { await change(fleet, drawn.gateway, new Map([[drawn.account, drawn.tokens]]), drawn.writeOutcome) }
  })),
  fastCheck.record({ gateway, account, tokens, writeOutcome }).map((returned): Step => ({
    name: `return ${JSON.stringify(returned)}`,
    run: async (fleet) => {
      const left = fleet.processes[returned.gateway].pool.withdraw(returned.account, returned.tokens)
      if (left > 0) await change(fleet, returned.gateway, new Map([[returned.account, -left]]), returned.writeOutcome)
    }
  })),
  fastCheck.record({ gateway, to: gateway, account, tokens }).map((given): Step => ({
    name: `give ${JSON.stringify(given)}`,
    run: async (fleet) => {
      const left = fleet.processes[given.gateway].pool.transferOut(given.account, given.tokens, 0)
      fleet.inTransit.push({ to: fleet.processes[given.to], account: given.account, tokens: left })
    }
  })),
  fastCheck.boolean().map((isLost): Step => ({
    name: isLost ? 'lose a transfer' : 'deliver a transfer',
    run: async (fleet) => {
      const transfer = fleet.inTransit.shift()
      if (transfer !== undefined && !isLost) transfer.to.pool.add(transfer.account, transfer.tokens)
    }
  })),
  fastCheck.record({ gateway, account, tokens }).map((request): Step => ({
    name: `spend ${JSON.stringify(request)}`,
    run: async (fleet) => {
      const { pool } = fleet.processes[request.gateway]
      if (!pool.reserve(request.account, request.tokens)) return
      pool.settle(request.account, request.tokens, request.tokens, 0)
      fleet.spent.set(request.account, (fleet.spent.get(request.account) ?? 0) + request.tokens)
    }
  })),
  gateway.map((index): Step => ({ name: `kill ${index}`, run: async (fleet) => { fleet.restart(index) } })),
  gateway.map((index): Step => ({ name: `read ${index}`, run: async (fleet) => { await change(fleet, index, new Map(), stores.WriteOutcome.done) } }))
]

describe('the protocol of the token page', () => {
  it('never spends more than a budget, nor a token twice, whatever is lost, late or ends', async () => {
    await fastCheck.assert(fastCheck.asyncProperty(fastCheck.commands(steps.map((step) => step.map((taken) => new StepCommand(taken))), { size: '+2' }), async (commands) => {
      await fastCheck.asyncModelRun(() => ({ model: {}, real: new Fleet() }), commands)
    }), { numRuns: RUNS })
  })
})
