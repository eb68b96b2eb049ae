/** Least rate at which a target with a limit still gets requests, per second. Without an answer nobody would learn that the limit has ended. */
export const MINIMUM_RATE_PER_SECOND = 0.1

/** Time for which routers are told that a target names no limit any more, in milliseconds. */
const END_REPORT_MS = 10_000

/** Requests that may follow each other without a pause, in seconds of the limit; at least one. */
const BURST_SECONDS = 0.5

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
   * part of the fleet, which then grants permits of its own.
   */
  request (target: string, perSecond: number, fleetShare: number, now: number): Permit {
    const rate = Math.max(MINIMUM_RATE_PER_SECOND, perSecond * fleetShare)
    const bucket = this.#buckets.get(target) ?? { permits: 0, filledAt: now }
    const capacity = Math.max(1, rate * BURST_SECONDS)
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

function dropOldest (map: Map<string, unknown>): void {
  if (map.size <= MAXIMUM_TARGETS) return
  const [oldest] = map.keys()
  map.delete(oldest)
}
