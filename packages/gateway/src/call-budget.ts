import type * as decisions from '@acaciaweir/decisions'
import * as answers from './answers.js'
import type * as calls from './call.js'
import * as tokenAllocators from './token-allocator.js'

/** Retry-after delay where the prepaid budget is out of reach, in milliseconds. */
const BUDGET_RETRY_AFTER_MS = 1000

/** Share of the route's latency objective for which a request waits for tokens that are under way. */
const BUDGET_WAIT_SHARE = 0.125

export interface CallBudgetOptions {
  clock: decisions.clock.Clock
  tokens: tokenAllocators.TokenAllocator
  findService: (name: string) => decisions.agreementTypes.Service | undefined
  /** Called with each request that the budget refuses. `isBudgetLeft` is true if its tokens are there as far as this gateway knows. */
  onBudgetRefusal: (outcome: tokenAllocators.ReserveOutcome, isBudgetLeft: boolean) => void
}

/** Reserves the prepaid tokens of calls, and settles them. */
export class CallBudget {
  readonly #options: CallBudgetOptions

  constructor (options: CallBudgetOptions) {
    this.#options = options
  }

  /** Returns the tokens to reserve: the prompt and the longest output, or 0 where no prepaid budget applies. */
  worstCaseTokens (call: calls.Call): number {
    if (call.account?.prepaidTokens === undefined || call.request.promptTokens === undefined) return 0
    return call.request.promptTokens + (call.request.maximumOutputTokens ?? 0)
  }

  /** Reserves tokens. Where the budget refuses, answers the caller and returns the outcome for the log. */
  async reserve (call: calls.Call, worstCaseTokens: number): Promise<string | undefined> {
    const patience: tokenAllocators.Patience = {
      underWayMs: call.route.objectiveMs * BUDGET_WAIT_SHARE,
      isGone: () => call.abortReason !== undefined
    }
    const outcome = await this.#options.tokens.reserve(call.account?.name ?? '', worstCaseTokens, patience)
    if (outcome === tokenAllocators.ReserveOutcome.reserved) return undefined
    this.#options.onBudgetRefusal(outcome, this.#options.tokens.isBudgetLeft(call.account?.name ?? '', worstCaseTokens))
    call.budget = { wanted: worstCaseTokens, ...this.#options.tokens.reservationInputs(call.account?.name ?? '') }
    if (outcome === tokenAllocators.ReserveOutcome.exhausted) {
      answers.sendRefusal(call.response, { status: 402, reason: 'the request does not fit into the prepaid budget' })
      return 'budget-exhausted'
    }
    answers.sendRefusal(call.response, { status: 503, reason: 'the budget cannot be drawn on now', retryAfterMs: BUDGET_RETRY_AFTER_MS }, call.deadlineAt - this.#options.clock.now())
    return 'budget-unreachable'
  }

  /** Charges the prompt if any target may have run it, plus the forwarded output, and frees the rest of the reservation. */
  settle (call: calls.Call, reservedTokens: number): void {
    const mayHaveRun = call.sends.some((send) => send.result !== 'not-run')
    const tokensPerEvent = this.#options.findService(call.service)?.engine?.tokensPerEvent ?? 1
    const outputTokens = Math.min(call.events * tokensPerEvent, call.request.maximumOutputTokens ?? Infinity)
    const spentTokens = mayHaveRun ? (call.request.promptTokens ?? 0) + outputTokens : 0
    this.#options.tokens.settle(call.account?.name ?? '', reservedTokens, spentTokens)
  }
}
