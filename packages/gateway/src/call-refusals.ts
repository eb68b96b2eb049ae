import type * as decisions from '@acaciaweir/decisions'
import * as pattern from 'ts-pattern'
import * as answers from './answers.js'
import type * as calls from './call.js'
import type * as sendOutcomes from './send-outcome.js'
import type * as targetChoosers from './target-chooser.js'

/** Retry-after delay where no target can take the request, because all are full, in milliseconds. */
const NO_TARGET_RETRY_AFTER_MS = 400

/** Retry-after delay where all targets are in evacuated zones, in milliseconds. Operators evacuate zones for a while, and callers may try elsewhere. */
const EVACUATED_RETRY_AFTER_MS = 2000

/** Largest part by which a retry-after delay is lengthened at random where all targets rest or are evacuated. Callers would otherwise return in the same moment. */
const RETRY_JITTER_SHARE = 0.25

export interface CallRefusalsOptions {
  clock: decisions.clock.Clock
  board: decisions.targetBoard.TargetBoard
  chooser: targetChoosers.TargetChooser
  random: decisions.random.RandomSource
}

/** Answers calls that no target answers. Each method that answers returns the outcome for the log and the metrics. */
export class CallRefusals {
  readonly #options: CallRefusalsOptions

  constructor (options: CallRefusalsOptions) {
    this.#options = options
  }

  /** Refuses with the whole time until the part is tested again, so that callers who cannot wait for it need not retry. */
  refuseHeldPart (call: calls.Call): string {
    answers.sendRefusal(call.response, { status: 503, reason: 'targets end under a part of the prompt', retryAfterMs: call.heldPart?.retryAfterMs })
    return 'held-part'
  }

  /** Returns true if all targets that could take the call are in evacuated zones, and sets these zones. */
  isConfined (call: calls.Call): boolean {
    call.evacuatedZones = this.#options.board.confiningZones(call.service)
    return call.evacuatedZones.length > 0
  }

  refuseConfined (call: calls.Call): string {
    this.#refuse(call, 503, 'all targets are in evacuated zones', this.#lengthen(EVACUATED_RETRY_AFTER_MS))
    return 'zones-evacuated'
  }

  /** Ends a call that no target answered. Returns the outcome for the log and the metrics. */
  endUnanswered (call: calls.Call, failure: sendOutcomes.SendOutcome | undefined): string {
    if (call.abortReason === 'caller') return 'caller-left'
    if (call.response.headersSent) {
      answers.abortResponse(call.response)
      return 'broken-off'
    }
    const isLate = call.abortReason === 'deadline'
    return pattern.match(failure)
      .with({ kind: 'failed' }, ({ answer }) => {
        answers.forwardAnswer(call.response, answer)
        return 'target-failed'
      })
      .with({ kind: 'lost' }, () => {
        this.#refuse(call, isLate ? 504 : 502, isLate ? 'no answer in time' : 'the answer of the target was lost')
        return isLate ? 'timed-out' : 'answer-lost'
      })
      .with({ kind: 'cut' }, () => {
        this.#refuse(call, 502, 'the stream of the target broke off')
        return 'answer-lost'
      })
      .otherwise(() => {
        if (call.sends.some((send) => send.result !== 'not-run')) {
          this.#refuse(call, isLate ? 504 : 502, isLate ? 'no answer in time' : 'no target can take the request now')
          return isLate ? 'timed-out' : 'answer-lost'
        }
        if (call.heldPart !== undefined) return this.refuseHeldPart(call)
        if (!this.#options.chooser.mayStart(call)) {
          answers.sendRefusal(call.response, answers.LEAVING_REFUSAL)
          return 'gateway-leaving'
        }
        return this.#refuseWithoutTarget(call)
      })
  }

  #refuseWithoutTarget (call: calls.Call): string {
    if (this.isConfined(call)) return this.refuseConfined(call)
    if (call.areTargetsResting && call.permitWaitMs !== undefined) {
      this.#refuse(call, 503, 'all targets want no requests now', this.#lengthen(call.permitWaitMs))
      return 'targets-rest'
    }
    if (call.room?.isRefused === true) {
      this.#refuse(call, 503, 'the service is full, and the account uses its part', call.room.retryAfterMs)
      return 'service-full'
    }
    this.#refuse(call, 503, 'no target can take the request now', call.permitWaitMs ?? NO_TARGET_RETRY_AFTER_MS)
    return call.permitWaitMs === undefined ? 'no-target' : 'at-limit'
  }

  /** Lengthens a retry-after delay at random. */
  #lengthen (milliseconds: number): number {
    return milliseconds + this.#options.random.integer(Math.ceil(milliseconds * RETRY_JITTER_SHARE) + 1)
  }

  #refuse (call: calls.Call, status: number, reason: string, retryAfterMs?: number): void {
    answers.sendRefusal(call.response, { status, reason, retryAfterMs }, call.deadlineAt - this.#options.clock.now())
  }
}
