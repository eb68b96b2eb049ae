import * as decisions from '@acaciaweir/decisions'

/** A call to a target failed. Carries what is known about whether the target got the request. */
export class TargetError extends Error {
  readonly step: string
  readonly target: string
  readonly peer = decisions.problem.Peer.target
  readonly knowledge: decisions.retryRules.DispatchKnowledge

  constructor (target: string, step: string, reason: string, knowledge: decisions.retryRules.DispatchKnowledge) {
    super(`target ${target} failed at ${step}: ${reason}`)
    this.target = target
    this.step = step
    this.knowledge = knowledge
  }
}
