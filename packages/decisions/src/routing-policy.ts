import * as hashing from './hashing.js'
import type * as random from './random.js'
import type * as types from './routing-types.js'

/** Age at which a load report has lost half of its weight. */
const LOAD_REPORT_HALF_LIFE_MS = 1000

/** Load per slot below which a prefix's affinity target is preferred. */
const MAXIMUM_AFFINITY_LOAD = 1.0

/** Chooses a target for a request among the candidates. */
export abstract class RoutingPolicy {
  /** Returns the chosen candidate, or undefined if there are none. */
  abstract choose (candidates: readonly types.Candidate[], request: types.RoutedRequest): types.Candidate | undefined
}

/** Returns the candidates that are neither leaving nor silent. */
export function usableCandidates (candidates: readonly types.Candidate[]): types.Candidate[] {
  return candidates.filter((candidate) => !candidate.leaving && !candidate.silent)
}

/** Estimates a target's load per slot: this router's work in flight plus the work of others as reported, discounted by the report's age. */
export function estimatedLoad (candidate: types.Candidate): number {
  const weight = Math.pow(0.5, candidate.reportAgeMs / LOAD_REPORT_HALF_LIFE_MS)
  const others = Math.max(0, candidate.reportedLoad - candidate.ownInFlight)
  return (candidate.ownInFlight + others * weight) / candidate.slots
}

/** Chooses the candidates in turn. */
export class RoundRobinPolicy extends RoutingPolicy {
  #nextIndex = 0

  override choose (candidates: readonly types.Candidate[]): types.Candidate | undefined {
    if (candidates.length === 0) return undefined
    const chosen = candidates[this.#nextIndex % candidates.length]
    this.#nextIndex += 1
    return chosen
  }
}

/** Chooses the target with the least of this router's own work per slot (least outstanding requests). */
export class LeastOwnWorkPolicy extends RoutingPolicy {
  override choose (candidates: readonly types.Candidate[]): types.Candidate | undefined {
    return minimumBy(candidates, (candidate) => candidate.ownInFlight / candidate.slots)
  }
}

/** Chooses the less loaded of two random targets (power of two choices). */
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
    return minimumBy([candidates[first], candidates[second]], estimatedLoad)
  }
}

/** Sends equal prefixes to one target, chosen by rendezvous hashing, while it has free slots; otherwise uses the fallback policy. */
export class PrefixAffinityPolicy extends RoutingPolicy {
  readonly #fallback: RoutingPolicy

  constructor (fallback: RoutingPolicy) {
    super()
    this.#fallback = fallback
  }

  override choose (candidates: readonly types.Candidate[], request: types.RoutedRequest): types.Candidate | undefined {
    const affinityTarget = minimumBy(candidates, (candidate) => hashing.rendezvousWeight(candidate.id, request.prefixHash))
    if (affinityTarget === undefined) return undefined
    if (estimatedLoad(affinityTarget) < MAXIMUM_AFFINITY_LOAD) return affinityTarget
    return this.#fallback.choose(candidates, request)
  }
}

function minimumBy (candidates: readonly types.Candidate[], measure: (candidate: types.Candidate) => number): types.Candidate | undefined {
  let best: types.Candidate | undefined
  let bestValue = Infinity
  for (const candidate of candidates) {
    const value = measure(candidate)
    if (value >= bestValue) continue
    best = candidate
    bestValue = value
  }
  return best
}
