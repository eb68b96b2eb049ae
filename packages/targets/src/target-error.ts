import * as decisions from '@acaciaweir/decisions'

/** Error of a failed call to a target. `knowledge` tells whether the target may have received the request or has sent a part of the answer. */
export class TargetError extends Error {
  readonly step: string
  readonly target: string
  readonly peer = decisions.problem.Peer.target
  readonly knowledge: decisions.retryRules.DispatchKnowledge
  /** The target or the network ended the connection. */
  readonly isConnectionLost: boolean
  /** The target sent nothing for the idle timeout, so that it may still be at work. */
  readonly isSilence: boolean

  constructor (target: string, step: string, reason: string, knowledge: decisions.retryRules.DispatchKnowledge, isConnectionLost = false, isSilence = false) {
    super(`request to target ${target} failed at step "${step}": ${reason}`)
    this.target = target
    this.step = step
    this.knowledge = knowledge
    this.isConnectionLost = isConnectionLost
    this.isSilence = isSilence
  }
}
