import * as hashing from './hashing.js'
import type * as boards from './target-board.js'

/** What placing may know of a request. */
export interface PlacedRequest {
  service: string
  /** Shared parts of the prompt in order, with their tokens. Empty for plain services. */
  sharedParts: ReadonlyArray<{ id: string, tokens: number }>
  promptTokens: number
  availabilityZone: string
}

/** Cost of one running request to those beside it, as prompt tokens that would delay them as much. */
const RUNNING_REQUEST_TOKENS = 40

/** Cost of each request beyond the slots, as prompt tokens. */
const WAITING_REQUEST_TOKENS = 20_000

/** Cost of crossing availability zones, as prompt tokens. Keeps traffic local between equal targets. */
const OTHER_ZONE_TOKENS = 1200

/** Cost of a target whose recent work all failed, as prompt tokens. */
const FAILING_TOKENS = 60_000

/** Share of a prefix that is expected in the cache of its usual target, though this router has not sent it there. */
const USUAL_TARGET_SHARE = 0.9

/** Share of a prefix that a copy from its usual target is expected to bring, where this router has not sent it there. */
const ASSUMED_COPY_SHARE = 0.4

/** Share of a cached prefix that it still costs to have it copied from another target. */
const COPY_COST_SHARE = 0.25

/** Fewest tokens worth copying from another target's cache. */
const LEAST_COPIED_TOKENS = 256

/** Cost of one request in flight at a plain service, by its share of the slots. */
const PLAIN_SLOT_COST = 10_000

/** Prompt length at which attention, which grows with the square, takes as long as all else. Unit: tokens. */
const ATTENTION_PARITY_TOKENS = 32_000

/** Time to read a prompt, in tokens of a short prompt. A long one holds up those behind it for more than its length. */
export function readingCost (promptTokens: number): number {
  return Math.round(promptTokens * (1 + promptTokens / ATTENTION_PARITY_TOKENS))
}

/** Where a request goes, and which target's cache it can read shared parts from. */
export interface Placement {
  target: boards.TargetState
  copyFrom?: boards.TargetState
}

/**
 * Chooses the target with the least expected delay. Answers load with shared prompts: a prefix stays where it was
 * read while the queue there is short, and is copied rather than read again where it is not. Routers agree on a prefix's
 * usual target by rendezvous hashing, so that they need not tell each other.
 */
export function chooseTarget (board: boards.TargetBoard, request: PlacedRequest, tried: ReadonlySet<string>, now: number): Placement | undefined {
  const all = board.ofService(request.service).filter((target) => !tried.has(target.entry.id))
  const healthy = all.filter((target) => target.setAsideUntil <= now)
  const candidates = healthy.length > 0 ? healthy : all
  const usual = usualTarget(candidates, request)
  const cached = new Map(candidates.map((target) => [target, cachedTokens(board, target.entry.id, request, target.entry.id === usual, now)]))
  const holder = most(candidates, (target) => cached.get(target) ?? 0)
  const copyable = holder === undefined ? 0 : copyableTokens(board, holder, request, now)
  const target = most(candidates, (candidate) => -expectedDelay(candidate, request, cached.get(candidate) ?? 0, copyable))
  if (target === undefined) return undefined
  const saved = holder === undefined ? 0 : (cached.get(holder) ?? 0) - (cached.get(target) ?? 0)
  return { target, copyFrom: saved >= LEAST_COPIED_TOKENS && holder !== target ? holder : undefined }
}

/** Requests in flight at a target from all routers, as far as known. */
export function inFlight (target: boards.TargetState): number {
  return target.own.requests + target.others.requests
}

function usualTarget (candidates: readonly boards.TargetState[], request: PlacedRequest): string | undefined {
  const last = request.sharedParts.at(-1)
  if (last === undefined) return undefined
  return hashing.rendezvousOrder(candidates, last.id, (target) => target.entry.id)[0]?.entry.id
}

/** Expected delay at a target, in prompt tokens that could be read meanwhile. */
function expectedDelay (target: boards.TargetState, request: PlacedRequest, cached: number, copyable: number): number {
  const { entry } = target
  const running = inFlight(target)
  const zone = entry.availabilityZone === request.availabilityZone ? 0 : OTHER_ZONE_TOKENS
  const common = zone + target.failureRatio * FAILING_TOKENS + Math.max(0, running + 1 - entry.slots) * WAITING_REQUEST_TOKENS
  if (request.promptTokens === 0) return common + running / entry.slots * PLAIN_SLOT_COST
  const unread = target.own.unreadTokens + target.others.unreadTokens
  const copied = Math.max(0, copyable - cached) * (1 - COPY_COST_SHARE)
  return common + running * RUNNING_REQUEST_TOKENS + unread + request.promptTokens - cached - copied
}

function most<Item> (items: readonly Item[], measure: (item: Item) => number): Item | undefined {
  let best: Item | undefined
  let bestValue = -Infinity
  for (const item of items) {
    const value = measure(item)
    if (value <= bestValue) continue
    best = item
    bestValue = value
  }
  return best
}

/** Prompt tokens that a copy from the target would save. */
function copyableTokens (board: boards.TargetBoard, holder: boards.TargetState, request: PlacedRequest, now: number): number {
  const known = cachedTokens(board, holder.entry.id, request, false, now)
  const assumed = request.sharedParts.reduce((sum, part) => sum + part.tokens, 0) * ASSUMED_COPY_SHARE
  return Math.max(known, assumed)
}

/** Prompt tokens that the target need not read again. A part counts only where all before it do. */
function cachedTokens (board: boards.TargetBoard, id: string, request: PlacedRequest, isUsual: boolean, now: number): number {
  let sent = 0
  let all = 0
  let unbroken = true
  for (const part of request.sharedParts) {
    all += part.tokens
    unbroken &&= board.holdsPart(id, part.id, now)
    if (unbroken) sent += part.tokens
  }
  return isUsual ? Math.max(sent, all * USUAL_TARGET_SHARE) : sent
}
