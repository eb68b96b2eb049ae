import * as decisions from '@acaciaweir/decisions'
import * as standIns from '@acaciaweir/stand-ins'
import * as pattern from 'ts-pattern'
import * as attempts from './caller-attempt.js'
import * as examples from './example-manifest.js'
import type * as traces from './trace-format.js'

const RETRY_PAUSE_MS = 150

/** Price of one call to the plain service of the example manifest. */
const SERVICE_CALL_TOKENS = 10

/** Outcome of a request as its caller sees it. */
export const CallerOutcome = { whole: 'whole', ran: 'ran', refused: 'refused', unknown: 'unknown', failed: 'failed' } as const
export type CallerOutcome = typeof CallerOutcome[keyof typeof CallerOutcome]

/** Result of one request at the caller, input of the verdict. */
export interface RequestReport {
  index: number
  account: string
  call: traces.RequestEvent['call']
  outcome: CallerOutcome
  /** Tag of the last error response or reason of the last lost connection; empty after a whole answer. */
  problem: string
  /** The router refused the request although the remaining budget covered its worst case. */
  falselyRefused: boolean
  /** The answer differs from the expected text and is no prefix of it. */
  wrongAnswer: boolean
  /** The answer ended regularly with only a prefix of the expected text. */
  cutAsWhole: boolean
  /** Idempotency keys in order of use; an empty entry marks that the key before it was discarded. */
  keys: string[]
  /** Tags of the attempts that the router reported as not run. */
  notRunTags: string[]
  /** Tokens of a whole answer, 0 after a refusal, the worst case otherwise. */
  tokens: number
  /** One entry per attempt: start and end on the caller's clock in milliseconds, key prefix of the host, stream and result. */
  trail: string[]
}

/** Limits of the shared budget and of each client account, for deciding whether a refusal was justified. */
export interface BudgetLimits {
  totalTokens: number
  capTokens: number
}

/** Sends the requests of a trace as a caller does: keeps to its entry hosts, retries on the next host and resumes streams. */
export class TraceCaller {
  readonly #clock: decisions.clock.Clock
  readonly #accounts: string[]
  readonly #addresses: () => string[]
  readonly #entryHostsByAccount = new Map<string, { hosts: attempts.EntryHost[], until: number }>()
  readonly #settledTokensByAccount = new Map<string, number>()
  readonly #inFlight = new Map<number, { account: string, worstCaseTokens: number }>()
  readonly #patienceMs: number
  readonly budget: BudgetLimits

  constructor (clock: decisions.clock.Clock, accounts: string[], addresses: () => string[], budget: BudgetLimits, patienceMs: number) {
    this.#clock = clock
    this.#accounts = accounts
    this.#addresses = addresses
    this.budget = budget
    this.#patienceMs = patienceMs
  }

  /** Sends one request and retries it until it ends or the caller's patience runs out. */
  async send (event: traces.RequestEvent, index: number): Promise<RequestReport> {
    const request = this.#createRequest(event, index)
    this.#inFlight.set(index, { account: request.report.account, worstCaseTokens: request.worstCaseTokens })
    const deadline = this.#clock.now() + this.#patienceMs
    while (this.#clock.now() < deadline) {
      const hasEnded = await this.#sendAttempt(request)
      if (hasEnded) break
      await this.#clock.sleep(RETRY_PAUSE_MS)
    }
    this.#finish(request)
    return request.report
  }

  /** Tokens of all finished requests; those of uncertain outcome count with their worst case. */
  get settledTokens (): number {
    let total = 0
    for (const tokens of this.#settledTokensByAccount.values()) total += tokens
    return total
  }

  #createRequest (event: traces.RequestEvent, index: number): attempts.PendingRequest {
    const account = this.#accounts[event.account]
    const shared = event.sharedMessage === undefined ? [] : [{ role: 'system', content: event.sharedMessage }]
    const messages = [...shared, { role: 'user', content: `Request ${index} of ${account}: which timber, and which round?` }]
    const worstCaseTokens = event.call === 'model'
      ? decisions.worstCase.worstCasePromptTokens(messages) + event.maximumOutputTokens
      : SERVICE_CALL_TOKENS
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
    return { event, report, messages, worstCaseTokens, bearer: examples.exampleApiKey(account), attemptCount: 0, openAttemptTags: [], stream: undefined, text: '', offset: 0 }
  }

  /** Sends one attempt to one host. Returns true once the request has ended for its caller. */
  async #sendAttempt (request: attempts.PendingRequest): Promise<boolean> {
    const hosts = await this.#resolveEntryHosts(request)
    if (hosts.length === 0) return false
    const host = hosts[request.attemptCount % hosts.length]
    request.attemptCount += 1
    const sentAt = this.#clock.now()
    const result = await attempts.sendOnce(request, host)
    request.report.trail.push(`${Math.round(sentAt)}-${Math.round(this.#clock.now())} ${host.keyPrefix} ${request.stream ?? ''} ${describeResult(result)}`)
    if (result.kind !== 'answered') this.#entryHostsByAccount.delete(request.report.account)
    return pattern.match(result)
      .with({ kind: 'answered' }, (answered) => this.#recordAnswer(request, answered))
      .with({ kind: 'problem' }, (problem) => this.#recordProblem(request, problem))
      .with({ kind: 'lost' }, (lost) => recordLoss(request, lost.reason))
      .exhaustive()
  }

  #recordAnswer (request: attempts.PendingRequest, answered: attempts.Answered): boolean {
    request.report.outcome = CallerOutcome.whole
    request.report.problem = ''
    request.report.tokens = answered.tokens
    if (request.event.call !== 'model') return true
    const expected = standIns.engineAnswer.wholeAnswer(request.messages, request.event.maximumOutputTokens)
    request.report.wrongAnswer = request.text !== expected && !expected.startsWith(request.text)
    request.report.cutAsWhole = request.text !== expected && expected.startsWith(request.text)
    return true
  }

  #recordProblem (request: attempts.PendingRequest, problem: attempts.ProblemAnswer): boolean {
    request.report.problem = problem.tag
    if (problem.ran === 'no') {
      request.report.notRunTags.push(...request.openAttemptTags, problem.requestTag)
      request.report.outcome = CallerOutcome.refused
      if (request.event.call === 'service-once') discardKey(request)
      const isHeldPart = problem.tag === 'held_prompt_part' && request.event.sharedMessage !== undefined
      request.report.falselyRefused = !isHeldPart && this.#fitsBudget(request)
      return problem.tag === 'budget_exhausted' || problem.tag === 'bad_request' || problem.tag === 'unauthorized'
    }
    if (request.event.call === 'service-once') {
      request.report.outcome = problem.ran === 'yes' ? CallerOutcome.ran : CallerOutcome.unknown
      return problem.ran === 'yes' && problem.tag !== 'duplicate_running'
    }
    if (problem.tag === 'stream_unknown') resetStream(request)
    request.report.outcome = CallerOutcome.failed
    return false
  }

  /** Checks the worst case against the budget less all finished requests and the worst cases of those in flight. */
  #fitsBudget (request: attempts.PendingRequest): boolean {
    const { account } = request.report
    let inFlightTokens = 0
    let accountInFlightTokens = 0
    for (const [index, other] of this.#inFlight) {
      if (index === request.report.index) continue
      inFlightTokens += other.worstCaseTokens
      if (other.account === account) accountInFlightTokens += other.worstCaseTokens
    }
    const availableUnderTotal = this.budget.totalTokens - this.settledTokens - inFlightTokens
    const availableUnderCap = this.budget.capTokens - (this.#settledTokensByAccount.get(account) ?? 0) - accountInFlightTokens
    return request.worstCaseTokens <= Math.min(availableUnderTotal, availableUnderCap)
  }

  #finish (request: attempts.PendingRequest): void {
    const { report } = request
    const isCertain = report.outcome === CallerOutcome.whole || report.outcome === CallerOutcome.refused
    if (report.outcome !== CallerOutcome.refused) report.falselyRefused = false
    // The caller does not know how the other requests ended, so their worst case counts as spent.
    if (!isCertain) report.tokens = request.worstCaseTokens
    this.#settledTokensByAccount.set(report.account, (this.#settledTokensByAccount.get(report.account) ?? 0) + report.tokens)
    this.#inFlight.delete(report.index)
  }

  async #resolveEntryHosts (request: attempts.PendingRequest): Promise<attempts.EntryHost[]> {
    const known = this.#entryHostsByAccount.get(request.report.account)
    if (known !== undefined && this.#clock.now() < known.until) return known.hosts
    const addresses = this.#addresses()
    for (let step = 0; step < addresses.length; step += 1) {
      const address = addresses[(request.report.index + request.attemptCount + step) % addresses.length]
      const answer = await attempts.fetchEntryHosts(address, request.bearer)
      if (answer === undefined || answer.hosts.length === 0) continue
      this.#entryHostsByAccount.set(request.report.account, { hosts: answer.hosts, until: this.#clock.now() + answer.keepSeconds * 1000 })
      return answer.hosts
    }
    return []
  }
}

/** Gives up a key that did not run, so that the next attempt makes one with the prefix of its own host. */
function discardKey (request: attempts.PendingRequest): void {
  request.report.keys.push('')
  request.openAttemptTags = []
}

/** Drops the partial answer of a stream that the router no longer knows; the next attempt starts a new answer. */
function resetStream (request: attempts.PendingRequest): void {
  request.stream = undefined
  request.text = ''
  request.offset = 0
}

function describeResult (result: attempts.AttemptResult): string {
  return pattern.match(result)
    .with({ kind: 'answered' }, () => 'answered')
    .with({ kind: 'problem' }, ({ tag, ran }) => `${tag}, ran: ${ran}`)
    .with({ kind: 'lost' }, ({ reason }) => `lost: ${reason}`)
    .exhaustive()
}

function recordLoss (request: attempts.PendingRequest, reason: string): boolean {
  if (request.event.call === 'service-once') request.openAttemptTags.push(`${request.report.index}.${request.attemptCount}`)
  request.report.problem = reason
  request.report.outcome = request.event.call === 'service-once' ? CallerOutcome.unknown : CallerOutcome.failed
  return false
}
