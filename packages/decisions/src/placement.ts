import * as hashing from './hashing.js'
import type * as random from './random.js'
import type * as boards from './target-board.js'

/** Properties of a request that placement considers. */
export interface PlacementRequest {
  service: string
  /** Shared prompt parts, each with its length in tokens, in prompt order. Empty for plain services. */
  sharedParts: ReadonlyArray<{ id: string, tokens: number }>
  promptTokens: number
  availabilityZone: string
}

/** Cost of a target whose slots are all in use; a partly used one costs its share. Unit: prompt tokens. */
const FULL_TARGET_COST_TOKENS = 7200

/** Cost of each request in excess of the target's slots. Unit: prompt tokens. */
const QUEUED_REQUEST_COST_TOKENS = 20_000

/** Cost of crossing availability zones; keeps traffic local between otherwise equal targets. Unit: prompt tokens. */
const CROSS_ZONE_COST_TOKENS = 1200

/** Cost of a target whose recent work all failed. Unit: prompt tokens. */
const FAILURE_COST_TOKENS = 60_000

/** Share of a prefix assumed to be in the cache of its affinity target although this router has not sent it there. */
const AFFINITY_CACHED_SHARE = 0.9

/** Share of a prefix that a copy is assumed to bring although this router has not sent the prefix to the source. */
const ASSUMED_COPYABLE_SHARE = 0.4

/** Cost of copying a cached prefix from another target, as a share of reading it again. */
const COPY_COST_SHARE = 0.25

/** Fewest tokens worth copying from another target's cache. */
const MINIMUM_COPIED_TOKENS = 256

/** Cost of a plain service whose slots are all in use; a partly used one costs its share. Unit: prompt tokens. */
const FULL_PLAIN_TARGET_COST_TOKENS = 10_000

/** Number of values that a draw can take. */
const DRAW_STEPS = 1024

/** Prompt length at which attention, whose time grows quadratically, takes as long as all other computation. */
const ATTENTION_PARITY_TOKENS = 32_000

/**
 * Returns the time to read a prompt (prefill), in tokens of a short prompt.
 * The cost grows faster than the length, since a long prompt delays the requests queued behind it disproportionately.
 */
export function promptReadingCost (promptTokens: number): number {
  return Math.round(promptTokens * (1 + promptTokens / ATTENTION_PARITY_TOKENS))
}

/** Returns true if a request may go to a target at present. */
export type TargetFilter = (target: boards.TargetState) => boolean

/** Why a target was chosen: its cached prompt parts, or its room. */
export const PlacementReason = { cached: 'cached', room: 'room' } as const
export type PlacementReason = typeof PlacementReason[keyof typeof PlacementReason]

/** The target chosen for a request and, optionally, another target from whose cache it copies shared prompt parts. */
export interface Placement {
  target: boards.TargetState
  reason: PlacementReason
  copyFrom?: boards.TargetState
}

/**
 * Chooses the target with the least expected delay at `now` (monotonic milliseconds), among equal ones that which was used least recently, or
 * undefined if the service has no target left to try. Targets in backoff are used only if all are. A target that the filter excludes is not chosen, but may be copied from.
 *
 * Balances load against reuse of cached prompts: a prefix stays at the target that read it while the queue there is
 * short, and is otherwise copied to another target rather than read again. Rendezvous hashing gives each prefix an
 * affinity target on which all routers agree without communicating.
 *
 * What other routers have in flight is known only with an error. With a random source, each choice draws the numbers of their requests from
 * what is believed of them (Thompson sampling), so that routers with the same reports don't all choose the same target.
 */
export function chooseTarget (board: boards.TargetBoard, request: PlacementRequest, tried: ReadonlySet<string>, now: number, isPermitted: TargetFilter = () => true, source?: random.RandomSource): Placement | undefined {
  const untried = board.assignableTargets(request.service).filter((target) => !tried.has(target.entry.id))
  const healthy = untried.filter((target) => target.backoffUntil <= now)
  const sources = healthy.length > 0 ? healthy : untried
  const considered = sources.some(isPermitted) ? sources : untried
  const candidates = considered.filter(isPermitted)
  const affinityId = affinityTargetId(sources, request)
  const cachedTokens = new Map(considered.map((target) => [target, estimateCachedTokens(board, target.entry.id, request, target.entry.id === affinityId, now)]))
  const copySource = maximumBy(sources, (target) => cachedTokens.get(target) ?? 0)
  const copyableTokens = copySource === undefined ? 0 : estimateCopyableTokens(board, copySource, request, now)
  const target = maximumBy(
    candidates,
    (candidate) => -estimateDelay(candidate, drawRequestsInFlight(candidate, source), request, cachedTokens.get(candidate) ?? 0, copyableTokens),
    (candidate, best) => candidate.lastStartedAt < best.lastStartedAt
  )
  if (target === undefined) return undefined
  const ownCachedTokens = cachedTokens.get(target) ?? 0
  const savedTokens = copySource === undefined ? 0 : (cachedTokens.get(copySource) ?? 0) - ownCachedTokens
  return { target, reason: ownCachedTokens > 0 ? PlacementReason.cached : PlacementReason.room, copyFrom: savedTokens >= MINIMUM_COPIED_TOKENS && copySource !== target ? copySource : undefined }
}

/** Returns the number of requests in flight at a target from all routers, as far as this router knows. */
export function requestsInFlight (target: boards.TargetState): number {
  return target.ownWork.requests + target.otherRoutersWork.requests
}

/** Draws the number of requests in flight at a target from a uniform distribution with the mean and the deviation of what is believed. */
function drawRequestsInFlight (target: boards.TargetState, source: random.RandomSource | undefined): number {
  const { requests, requestsDeviation } = target.otherRoutersWork
  if (source === undefined || requestsDeviation === 0) return requestsInFlight(target)
  const error = (2 * source.integer(DRAW_STEPS) / (DRAW_STEPS - 1) - 1) * Math.sqrt(3) * requestsDeviation
  return target.ownWork.requests + Math.max(0, requests + error)
}

function affinityTargetId (candidates: readonly boards.TargetState[], request: PlacementRequest): string | undefined {
  const lastPart = request.sharedParts.at(-1)
  if (lastPart === undefined) return undefined
  return hashing.rendezvousOrder(candidates, lastPart.id, (target) => target.entry.id)[0]?.entry.id
}

/** Estimates the delay at a target, in prompt tokens that could be read in the same time. */
function estimateDelay (target: boards.TargetState, running: number, request: PlacementRequest, cachedTokens: number, copyableTokens: number): number {
  const { entry } = target
  const zoneCost = entry.availabilityZone === request.availabilityZone ? 0 : CROSS_ZONE_COST_TOKENS
  const baseCost = zoneCost + target.failureRatio * FAILURE_COST_TOKENS + Math.max(0, running + 1 - entry.slots) * QUEUED_REQUEST_COST_TOKENS
  if (request.promptTokens === 0) return baseCost + running / entry.slots * FULL_PLAIN_TARGET_COST_TOKENS
  const unreadTokens = target.ownWork.unreadTokens + target.otherRoutersWork.unreadTokens
  const savedByCopy = Math.max(0, copyableTokens - cachedTokens) * (1 - COPY_COST_SHARE)
  return baseCost + running / entry.slots * FULL_TARGET_COST_TOKENS + unreadTokens + request.promptTokens - cachedTokens - savedByCopy
}

/** Returns the item with the highest measure, of equal ones the first that no other is preferred to; undefined for an empty list. */
function maximumBy<Item> (items: readonly Item[], measure: (item: Item) => number, isPreferred: (item: Item, best: Item) => boolean = () => false): Item | undefined {
  let best: Item | undefined
  let bestValue = -Infinity
  for (const item of items) {
    const value = measure(item)
    if (value < bestValue || (value === bestValue && best !== undefined && !isPreferred(item, best))) continue
    best = item
    bestValue = value
  }
  return best
}

/** Estimates the prompt tokens that need not be read again if they are copied from the given target. */
function estimateCopyableTokens (board: boards.TargetBoard, copySource: boards.TargetState, request: PlacementRequest, now: number): number {
  const sentTokens = estimateCachedTokens(board, copySource.entry.id, request, false, now)
  const assumedTokens = request.sharedParts.reduce((sum, part) => sum + part.tokens, 0) * ASSUMED_COPYABLE_SHARE
  return Math.max(sentTokens, assumedTokens)
}

/** Estimates the prompt tokens that the target has cached. A cached part counts only if all parts before it are cached. */
function estimateCachedTokens (board: boards.TargetBoard, id: string, request: PlacementRequest, isAffinityTarget: boolean, now: number): number {
  let sentTokens = 0
  let totalTokens = 0
  let isContiguous = true
  for (const part of request.sharedParts) {
    totalTokens += part.tokens
    isContiguous &&= board.hasSentPartRecently(id, part.id, now)
    if (isContiguous) sentTokens += part.tokens
  }
  return isAffinityTarget ? Math.max(sentTokens, totalTokens * AFFINITY_CACHED_SHARE) : sentTokens
}
