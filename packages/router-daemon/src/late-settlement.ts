import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import type * as admitted from './admitted-request.js'
import * as settlers from './intent-settler.js'

const SETTLE_INTERVAL_MS = 500

interface UnsettledRequest {
  request: admitted.AdmittedRequest
  deliveredTokens: number
}

/** Settles requests of this router whose answers were lost, by retrying until their targets answer. */
export class LateSettlement {
  readonly #settler: settlers.IntentSettler
  readonly #logger: runtime.logging.Logger
  readonly #settleTask: runtime.task.PeriodicTask
  #unsettled: UnsettledRequest[] = []

  constructor (settler: settlers.IntentSettler, clock: decisions.clock.Clock, logger: runtime.logging.Logger) {
    this.#settler = settler
    this.#logger = logger
    this.#settleTask = new runtime.task.PeriodicTask({
      intervalMs: SETTLE_INTERVAL_MS,
      action: async () => { await this.#settleAll() },
      onError: (error) => { logger.warn({ event: 'late-settlement-failed', step: 'settle', peer: 'target', reason: (error as Error).message }) },
      sleep: (milliseconds, signal) => clock.sleep(milliseconds, signal)
    })
  }

  /** Number of requests that are not settled yet. */
  get unsettledCount (): number {
    return this.#unsettled.length
  }

  add (request: admitted.AdmittedRequest, deliveredTokens: number): void {
    this.#unsettled.push({ request, deliveredTokens })
  }

  async stop (): Promise<void> {
    await this.#settleTask.stop()
  }

  async #settleAll (): Promise<void> {
    const requests = this.#unsettled
    const settled = await Promise.all(requests.map((unsettled) => this.#settle(unsettled)))
    this.#unsettled = this.#unsettled.filter((unsettled) => !requests.some((other, index) => other === unsettled && settled[index]))
  }

  async #settle (unsettled: UnsettledRequest): Promise<boolean> {
    const intent = unsettled.request.intent()
    const outcome = await this.#settler.settle(intent, unsettled.request.incarnation.id)
    if (outcome.kind === 'later') return false
    if (outcome.kind === 'billed') await unsettled.request.closeAsBilled(outcome.bill)
    else if (unsettled.deliveredTokens === 0) unsettled.request.closeAsNotRun()
    else await unsettled.request.closeAsBilled(createDeliveredBill(intent, unsettled.deliveredTokens))
    this.#logger.info({ event: 'settled-late', requestId: intent.requestId, outcome: outcome.kind })
    return true
  }
}

/** Creates the bill of a partly delivered request that its target no longer knows: the delivered tokens, and the prompt at its reserved size. */
function createDeliveredBill (intent: decisions.journalTypes.Intent, deliveredTokens: number): decisions.journalTypes.Bill {
  return settlers.createBill(intent, { promptTokens: intent.reservedPromptTokens, completionTokens: deliveredTokens }, false)
}
