import * as decisions from '@acaciaweir/decisions'
import * as standIns from '@acaciaweir/stand-ins'
import * as pattern from 'ts-pattern'
import * as attempts from './caller-attempt.js'
import * as examples from './example-manifest.js'
import type * as traces from './trace-format.js'

/** Pause before another try, in milliseconds. */
const RETRY_PAUSE_MS = 150

/** Price of a call to the example plain service, in tokens. */
const SERVICE_TOKENS = 10

/** How a request ended for its caller. */
export const CallerOutcome = { whole: 'whole', ran: 'ran', refused: 'refused', unknown: 'unknown', failed: 'failed' } as const
export type CallerOutcome = typeof CallerOutcome[keyof typeof CallerOutcome]

/** What the judge needs to know of one request. */
export interface RequestReport {
  index: number
  account: string
  call: traces.RequestEvent['call']
  outcome: CallerOutcome
  /** Tag of the last problem; empty for whole answers. */
  problem: string
  /** True where the request was refused although its worst case fitted. */
  falselyRefused: boolean
  wrongAnswer: boolean
  cutAsWhole: boolean
  /** Keys used, one after another. */
  keys: string[]
  /** Tags of tries that were told that they did not run. */
  notRunTags: string[]
  tokens: number
  /** Each try: milliseconds since the first, host and result. */
  trail: string[]
}

/** Limits that the callers' view of the budget is checked against. */
export interface BudgetView {
  totalTokens: number
  capTokens: number
}

/** Sends a trace's requests as callers would: few hosts, retries elsewhere, streams resumed. */
export class TraceCaller {
  readonly #clock: decisions.clock.Clock
  readonly #accounts: string[]
  readonly #addresses: () => string[]
  readonly #hosts = new Map<string, { hosts: attempts.KnownHost[], until: number }>()
  readonly #settled = new Map<string, number>()
  readonly #inFlight = new Map<number, { account: string, worst: number }>()
  readonly #patienceMs: number
  readonly budget: BudgetView

  constructor (clock: decisions.clock.Clock, accounts: string[], addresses: () => string[], budget: BudgetView, patienceMs: number) {
    this.#clock = clock
    this.#accounts = accounts
    this.#addresses = addresses
    this.budget = budget
    this.#patienceMs = patienceMs
  }

  /** Sends one request and follows it to its end. */
  async send (event: traces.RequestEvent, index: number): Promise<RequestReport> {
    const run = this.#newRun(event, index)
    this.#inFlight.set(index, { account: run.report.account, worst: run.worst })
    const deadline = this.#clock.now() + this.#patienceMs
    while (this.#clock.now() < deadline) {
      const ended = await this.#try(run)
      if (ended) break
      await this.#clock.sleep(RETRY_PAUSE_MS)
    }
    this.#finish(run)
    return run.report
  }

  /** Tokens of answers that callers have got. */
  get settledTokens (): number {
    let total = 0
    for (const tokens of this.#settled.values()) total += tokens
    return total
  }

  #newRun (event: traces.RequestEvent, index: number): attempts.CallerRun {
    const account = this.#accounts[event.account]
    const messages = [{ role: 'user', content: `Request ${index} of ${account}: which timber, and which round?` }]
    const worst = event.call === 'model'
      ? decisions.worstCase.worstCasePromptTokens(messages) + event.maximumOutputTokens
      : SERVICE_TOKENS
    const report: RequestReport = {
      index,
      account,
      call: event.call,
      outcome: CallerOutcome.failed,
      problem: '',
      falselyRefused: false,
      wrongAnswer: false,
      cutAsWhole: false,
      keys: [],
      notRunTags: [],
      tokens: 0,
      trail: []
    }
    return { event, report, messages, worst, bearer: examples.exampleKey(account), tries: 0, triesOfKey: [], stream: undefined, text: '', offset: 0 }
  }

  /** One try at one host. Returns true once the request has ended for its caller. */
  async #try (run: attempts.CallerRun): Promise<boolean> {
    const hosts = await this.#entryHosts(run)
    if (hosts.length === 0) return false
    const host = hosts[run.tries % hosts.length]
    run.tries += 1
    const sentAt = this.#clock.now()
    const result = await attempts.tryOnce(run, host)
    run.report.trail.push(`${Math.round(sentAt)}-${Math.round(this.#clock.now())} ${host.keyPrefix} ${run.stream ?? ''} ${describe(result)}`)
    if (result.kind !== 'answered') this.#hosts.delete(run.report.account)
    return pattern.match(result)
      .with({ kind: 'answered' }, (answered) => this.#takeAnswer(run, answered))
      .with({ kind: 'problem' }, (problem) => this.#takeProblem(run, problem))
      .with({ kind: 'lost' }, (lost) => takeLoss(run, lost.reason))
      .exhaustive()
  }

  #takeAnswer (run: attempts.CallerRun, answered: attempts.Answered): boolean {
    run.report.outcome = CallerOutcome.whole
    run.report.problem = ''
    run.report.tokens = answered.tokens
    if (run.event.call !== 'model') return true
    const expected = standIns.engineAnswer.wholeAnswer(run.messages, run.event.maximumOutputTokens)
    run.report.wrongAnswer = run.text !== expected && !expected.startsWith(run.text)
    run.report.cutAsWhole = run.text !== expected && expected.startsWith(run.text)
    return true
  }

  #takeProblem (run: attempts.CallerRun, problem: attempts.ProblemAnswer): boolean {
    run.report.problem = problem.tag
    if (problem.ran === 'no') {
      run.report.notRunTags.push(...run.triesOfKey, problem.requestTag)
      run.report.outcome = CallerOutcome.refused
      if (run.event.call === 'service-once') takeNewKey(run)
      run.report.falselyRefused = this.#fitted(run)
      return problem.tag === 'budget_exhausted' || problem.tag === 'bad_request' || problem.tag === 'unauthorized'
    }
    if (run.event.call === 'service-once') {
      run.report.outcome = problem.ran === 'yes' ? CallerOutcome.ran : CallerOutcome.unknown
      return problem.ran === 'yes' && problem.tag !== 'duplicate_running'
    }
    if (problem.tag === 'stream_unknown') startAnew(run)
    run.report.outcome = CallerOutcome.failed
    return false
  }

  /** True where the request's worst case fits into what is neither billed nor held by requests in flight. */
  #fitted (run: attempts.CallerRun): boolean {
    const { account } = run.report
    let flying = 0
    let flyingOfAccount = 0
    for (const [index, other] of this.#inFlight) {
      if (index === run.report.index) continue
      flying += other.worst
      if (other.account === account) flyingOfAccount += other.worst
    }
    const underTotal = this.budget.totalTokens - this.settledTokens - flying
    const underCap = this.budget.capTokens - (this.#settled.get(account) ?? 0) - flyingOfAccount
    return run.worst <= Math.min(underTotal, underCap)
  }

  #finish (run: attempts.CallerRun): void {
    const { report } = run
    const certain = report.outcome === CallerOutcome.whole || report.outcome === CallerOutcome.refused
    if (report.outcome !== CallerOutcome.refused) report.falselyRefused = false
    // What became of the others is not known to the caller: their worst case stays set aside.
    if (!certain) report.tokens = run.worst
    this.#settled.set(report.account, (this.#settled.get(report.account) ?? 0) + report.tokens)
    this.#inFlight.delete(report.index)
  }

  async #entryHosts (run: attempts.CallerRun): Promise<attempts.KnownHost[]> {
    const known = this.#hosts.get(run.report.account)
    if (known !== undefined && this.#clock.now() < known.until) return known.hosts
    const addresses = this.#addresses()
    for (let step = 0; step < addresses.length; step += 1) {
      const address = addresses[(run.report.index + run.tries + step) % addresses.length]
      const answer = await attempts.askEntryHosts(address, run.bearer)
      if (answer === undefined || answer.hosts.length === 0) continue
      this.#hosts.set(run.report.account, { hosts: answer.hosts, until: this.#clock.now() + answer.keepSeconds * 1000 })
      return answer.hosts
    }
    return []
  }
}

/** A key that did not run is given up: a later try takes the prefix of the host that it goes to. */
function takeNewKey (run: attempts.CallerRun): void {
  run.report.keys.push('')
  run.triesOfKey = []
}

/** A new run gives a new answer: what has come of the old one does not count. */
function startAnew (run: attempts.CallerRun): void {
  run.stream = undefined
  run.text = ''
  run.offset = 0
}

function describe (result: attempts.AttemptResult): string {
  return pattern.match(result)
    .with({ kind: 'answered' }, () => 'answered')
    .with({ kind: 'problem' }, ({ tag, ran }) => `${tag}, ran: ${ran}`)
    .with({ kind: 'lost' }, ({ reason }) => `lost: ${reason}`)
    .exhaustive()
}

function takeLoss (run: attempts.CallerRun, reason: string): boolean {
  if (run.event.call === 'service-once') run.triesOfKey.push(`${run.report.index}.${run.tries}`)
  run.report.problem = reason
  run.report.outcome = run.event.call === 'service-once' ? CallerOutcome.unknown : CallerOutcome.failed
  return false
}
