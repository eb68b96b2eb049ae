import type * as randoms from './random.js'

/** Least rate at which a target with a limit still gets requests, per second. Without an answer nobody would learn that the limit has ended. */
export const MINIMUM_RATE_PER_SECOND = 0.1

/** Time for which routers are told that a target names no limit any more, in milliseconds. */
const END_REPORT_MS = 10_000

/** Requests that may follow each other without a pause, in seconds of the limit; at least one. */
const BURST_SECONDS = 0.5

/** Share of a cold target's rate that its keeper grants. A cold target crashes above its rate, and three routers may take themselves for its keeper. */
const COLD_KEEPER_SHARE = 0.42

/** Share of that rate that all routers together use that can't reach the keeper. */
const COLD_UNREACHED_SHARE = 0.1

/** The same as `BURST_SECONDS` for a cold target, and the most requests that may follow each other. */
const COLD_BURST_SECONDS = 0.1
const MAXIMUM_COLD_BURST = 2

/** Time within which a router that can't reach the keeper may use its share. Shares that were saved up would be used in the same burst. */
const UNREACHED_WINDOW_MS = 300

/** Positions at which that window may lie in its period. */
const PHASES = 1000

/** Targets of which a limit or its bucket is remembered. */
const MAXIMUM_TARGETS = 500

/** What one router knows of the limit of a target, for the others. */
export interface TargetLimitReport {
  target: string
  /** Requests a second; -1 if the target names no limit any more. */
  perSecond: number
  /** Time since the answer that said so, in milliseconds. */
  ageMs: number
}

/** Called with each change of a limit; `perSecond` is undefined where it has ended. */
export type LimitListener = (target: string, perSecond: number | undefined) => void

interface KnownLimit {
  perSecond: number | undefined
  /** Monotonic time of the last answer that named it or left it out, in milliseconds. */
  at: number
}

/** Limits that targets name in their answers, by target. Routers exchange reports, so that one answer tells all of them. */
export class TargetLimits {
  readonly #limits = new Map<string, KnownLimit>()
  readonly #onChange: LimitListener

  constructor (onChange: LimitListener) {
    this.#onChange = onChange
  }

  /** Number of targets with a limit. */
  get size (): number {
    return [...this.#limits.values()].filter((limit) => limit.perSecond !== undefined).length
  }

  /** No target is known to name a limit, or to have named one lately. */
  get isEmpty (): boolean {
    return this.#limits.size === 0
  }

  /** Requests a second that a target takes from all routers together; undefined if it names no limit. */
  limitOf (target: string): number | undefined {
    return this.#limits.get(target)?.perSecond
  }

  /** Records what an answer said. One to a request from before the limit was named does not end it. Returns true if other routers should hear of it at once. */
  recordAnswer (target: string, perSecond: number | undefined, sentAt: number, now: number): boolean {
    const known = this.#limits.get(target)
    if (perSecond === undefined && (known?.perSecond === undefined || sentAt <= known.at)) return false
    this.#set(target, { perSecond, at: now })
    return known?.perSecond !== perSecond
  }

  /** Takes over what another router reported, where that is newer. */
  merge (reports: readonly TargetLimitReport[], now: number): void {
    for (const { target, perSecond, ageMs } of reports) {
      const at = now - ageMs
      if (at > (this.#limits.get(target)?.at ?? -Infinity)) this.#set(target, { perSecond: perSecond < 0 ? undefined : perSecond, at })
    }
  }

  /** Returns what the other routers should know. */
  reports (now: number): TargetLimitReport[] {
    for (const [target, limit] of this.#limits) {
      if (limit.perSecond === undefined && now - limit.at > END_REPORT_MS) this.#limits.delete(target)
    }
    return [...this.#limits].map(([target, { perSecond, at }]) => ({ target, perSecond: perSecond ?? -1, ageMs: Math.round(now - at) }))
  }

  #set (target: string, limit: KnownLimit): void {
    const previous = this.#limits.get(target)?.perSecond
    this.#limits.delete(target)
    this.#limits.set(target, limit)
    if (previous !== limit.perSecond) this.#onChange(target, limit.perSecond)
    dropOldest(this.#limits)
  }
}

/** Answer to a router that asks to send one request to a target with a limit. */
export interface Permit {
  isGranted: boolean
  /** Time until a permit may be granted, in milliseconds. */
  retryAfterMs: number
}

interface Bucket {
  permits: number
  filledAt: number
}

/**
 * Grants the permits of the targets whose limits this router keeps for all: a token bucket for each target. A bucket starts empty, since another
 * router may have granted permits until now.
 */
export class PermitIssuer {
  readonly #buckets = new Map<string, Bucket>()

  /**
   * Grants or denies one request. `fleetShare` is the share of all known routers that this one hears: a cut may separate it from another
   * part of the fleet, which then grants permits of its own. A cold target gets less than it takes, without bursts.
   */
  request (target: string, perSecond: number, fleetShare: number, now: number, isCold = false): Permit {
    const rate = Math.max(MINIMUM_RATE_PER_SECOND, perSecond * fleetShare * (isCold ? COLD_KEEPER_SHARE : 1))
    const bucket = this.#buckets.get(target) ?? { permits: 0, filledAt: now }
    const capacity = Math.max(1, isCold ? Math.min(MAXIMUM_COLD_BURST, rate * COLD_BURST_SECONDS) : rate * BURST_SECONDS)
    bucket.permits = Math.min(capacity, bucket.permits + (now - bucket.filledAt) / 1000 * rate)
    bucket.filledAt = now
    const isGranted = bucket.permits >= 1
    if (isGranted) bucket.permits -= 1
    this.#buckets.delete(target)
    this.#buckets.set(target, bucket)
    dropOldest(this.#buckets)
    return { isGranted, retryAfterMs: Math.max(0, 1 - bucket.permits) / rate * 1000 }
  }
}

/**
 * Grants this router's own share of a cold target's rate while the keeper is out of reach: one request in a short window of each period. The
 * windows of the routers lie at random, so that their shares are not used at the same time.
 */
export class UnreachedShares {
  readonly #random: randoms.RandomSource
  /** Position of the windows in the period, from 0 to 1, and the last period in which the share was used, by target. */
  readonly #shares = new Map<string, { phase: number, usedPeriod: number }>()

  constructor (random: randoms.RandomSource) {
    this.#random = random
  }

  request (target: string, perSecond: number, routers: number, now: number): Permit {
    const periodMs = 1000 * routers / (perSecond * COLD_UNREACHED_SHARE)
    const share = this.#shares.get(target) ?? { phase: this.#random.integer(PHASES) / PHASES, usedPeriod: -1 }
    this.#shares.set(target, share)
    dropOldest(this.#shares)
    const periods = now / periodMs + share.phase
    const period = Math.floor(periods)
    const isGranted = period !== share.usedPeriod && (periods - period) * periodMs <= UNREACHED_WINDOW_MS
    if (isGranted) share.usedPeriod = period
    return { isGranted, retryAfterMs: (period + 1 - periods) * periodMs }
  }
}

function dropOldest (map: Map<string, unknown>): void {
  if (map.size <= MAXIMUM_TARGETS) return
  const [oldest] = map.keys()
  map.delete(oldest)
}
