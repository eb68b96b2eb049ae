import * as hashing from './hashing.js'
import type * as random from './random.js'
import type * as types from './routing-types.js'

/** Age at which a load report counts for half, in milliseconds. */
const LOAD_REPORT_HALF_LIFE_MS = 1000

/** Load over slots up to which a prefix's usual target is preferred. */
const AFFINITY_LOAD_LIMIT = 1.0

/** Chooses a target among candidates that may serve a request. */
export abstract class RoutingPolicy {
  /** Returns the chosen candidate, or undefined where there is none. */
  abstract choose (candidates: readonly types.Candidate[], request: types.RoutedRequest): types.Candidate | undefined
}

/** Leaves out targets that are leaving or silent. */
export function usableCandidates (candidates: readonly types.Candidate[]): types.Candidate[] {
  return candidates.filter((candidate) => !candidate.leaving && !candidate.silent)
}

/** Own work in flight plus the reported load of others, discounted by the report's age. Unit: share of the target's slots. */
export function estimatedLoad (candidate: types.Candidate): number {
  const weight = Math.pow(0.5, candidate.reportAgeMs / LOAD_REPORT_HALF_LIFE_MS)
  const others = Math.max(0, candidate.reportedLoad - candidate.ownInFlight)
  return (candidate.ownInFlight + others * weight) / candidate.slots
}

/** Takes the targets in turn. */
export class RoundRobinPolicy extends RoutingPolicy {
  #next = 0

  override choose (candidates: readonly types.Candidate[]): types.Candidate | undefined {
    if (candidates.length === 0) return undefined
    const chosen = candidates[this.#next % candidates.length]
    this.#next += 1
    return chosen
  }
}

/** Takes the target with the least work of this router. */
export class LeastOwnWorkPolicy extends RoutingPolicy {
  override choose (candidates: readonly types.Candidate[]): types.Candidate | undefined {
    return lowest(candidates, (candidate) => candidate.ownInFlight / candidate.slots)
  }
}

/** Takes the less loaded of two random targets. */
export class TwoChoicesPolicy extends RoutingPolicy {
  readonly #random: random.RandomSource

  constructor (source: random.RandomSource) {
    super()
    this.#random = source
  }

  override choose (candidates: readonly types.Candidate[]): types.Candidate | undefined {
    if (candidates.length < 2) return candidates[0]
    const first = this.#random.integer(candidates.length)
    const step = 1 + this.#random.integer(candidates.length - 1)
    const second = (first + step) % candidates.length
    return lowest([candidates[first], candidates[second]], estimatedLoad)
  }
}

/** Keeps equal prefixes at one target while it has room, and follows another policy otherwise. */
export class PrefixAffinityPolicy extends RoutingPolicy {
  readonly #fallback: RoutingPolicy

  constructor (fallback: RoutingPolicy) {
    super()
    this.#fallback = fallback
  }

  override choose (candidates: readonly types.Candidate[], request: types.RoutedRequest): types.Candidate | undefined {
    const usual = lowest(candidates, (candidate) => hashing.rendezvousWeight(candidate.id, request.prefixHash))
    if (usual === undefined) return undefined
    if (estimatedLoad(usual) < AFFINITY_LOAD_LIMIT) return usual
    return this.#fallback.choose(candidates, request)
  }
}

function lowest (candidates: readonly types.Candidate[], measure: (candidate: types.Candidate) => number): types.Candidate | undefined {
  let best: types.Candidate | undefined
  let bestMeasure = Infinity
  for (const candidate of candidates) {
    const value = measure(candidate)
    if (value >= bestMeasure) continue
    best = candidate
    bestMeasure = value
  }
  return best
}
