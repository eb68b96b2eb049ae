import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import type * as admitted from './admitted-request.js'
import * as settlers from './intent-settler.js'

/** Time between two rounds of questions to targets, in milliseconds. */
const ROUND_INTERVAL_MS = 500

interface LateRequest {
  request: admitted.AdmittedRequest
  deliveredTokens: number
}

/** Settles this router's own requests whose answers were lost, as soon as their targets answer. */
export class LateSettlement {
  readonly #settler: settlers.IntentSettler
  readonly #logger: runtime.logging.Logger
  readonly #loop: runtime.task.PeriodicTask
  #requests: LateRequest[] = []

  constructor (settler: settlers.IntentSettler, clock: decisions.clock.Clock, logger: runtime.logging.Logger) {
    this.#settler = settler
    this.#logger = logger
    this.#loop = new runtime.task.PeriodicTask({
      intervalMs: ROUND_INTERVAL_MS,
      action: async () => { await this.#round() },
      onError: (error) => { logger.warn({ event: 'late-settlement-failed', step: 'settle', peer: 'target', reason: (error as Error).message }) },
      sleep: (milliseconds, signal) => clock.sleep(milliseconds, signal)
    })
  }

  /** Requests not settled yet. */
  get size (): number {
    return this.#requests.length
  }

  add (request: admitted.AdmittedRequest, deliveredTokens: number): void {
    this.#requests.push({ request, deliveredTokens })
  }

  async stop (): Promise<void> {
    await this.#loop.stop()
  }

  async #round (): Promise<void> {
    const requests = this.#requests
    const settled = await Promise.all(requests.map((late) => this.#settle(late)))
    this.#requests = this.#requests.filter((late) => !requests.some((other, index) => other === late && settled[index]))
  }

  async #settle (late: LateRequest): Promise<boolean> {
    const intent = late.request.intent()
    const outcome = await this.#settler.settle(intent, late.request.incarnation.id)
    if (outcome.kind === 'later') return false
    if (outcome.kind === 'billed') await late.request.closeBilled(outcome.bill)
    else if (late.deliveredTokens === 0) late.request.closeNotRun()
    else await late.request.closeBilled(deliveredBill(intent, late.deliveredTokens))
    this.#logger.info({ event: 'settled-late', requestId: intent.requestId, outcome: outcome.kind })
    return true
  }
}

/** The bill of a request whose target has forgotten it: what reached the caller, with the prompt at its reservation's share. */
function deliveredBill (intent: decisions.journalTypes.Intent, deliveredTokens: number): decisions.journalTypes.Bill {
  return settlers.billOf(intent, { promptTokens: intent.reservedPromptTokens, completionTokens: deliveredTokens }, false)
}
