import * as types from './agreement-types.js'
import type * as serviceRoom from './service-room.js'
import * as workEstimate from './work-estimate.js'
import * as zoneEvacuations from './zone-evacuations.js'

/** Outcome of a dispatch to a target, as far as it concerns the target's health. */
export const TargetResult = { served: 'served', refused: 'refused', failed: 'failed', unreachable: 'unreachable', undecided: 'undecided' } as const
export type TargetResult = typeof TargetResult[keyof typeof TargetResult]

/** Half-life of a target's failure ratio. */
const FAILURE_HALF_LIFE_MS = 4000

/** First backoff of an unreachable target. Doubles with each consecutive failure. */
const INITIAL_BACKOFF_MS = 500

const MAXIMUM_BACKOFF_MS = 4000

/** Backoff of a target that refused work because it is full. */
const REFUSED_BACKOFF_MS = 100

/** Time for which a prompt part is assumed to stay in the cache of the target that read it. */
const CACHED_PART_LIFETIME_MS = 20_000

/** Runs of targets that are remembered as leaving. A list that is older than their word may name them again. */
const MAXIMUM_LEAVING_RUNS = 500

/** Prompt parts remembered for each target. */
const MAXIMUM_TRACKED_PARTS = 2000

const NO_OTHER_WORK = { requests: 0, unreadTokens: 0, requestsDeviation: 0 } as const

/** Work in flight at a target. */
export interface WorkInFlight {
  requests: number
  /** Time to read (prefill) the prompts of requests without a first event yet, in tokens of a short prompt. */
  unreadTokens: number
}

/** A router's view of one target. */
export interface TargetState {
  entry: types.TargetEntry
  /** Work sent by this router. */
  ownWork: WorkInFlight
  /** Work sent by the other routers, as estimated from their last heartbeats. */
  otherRoutersWork: workEstimate.EstimatedWork
  /** Decaying failure score of recent work, from 0 to 1. */
  failureRatio: number
  /** Monotonic time, in milliseconds, until which requests prefer other targets. */
  backoffUntil: number
  /** Monotonic time, in milliseconds, at which this router last sent a request to the target. */
  lastStartedAt: number
}

interface TrackedTarget extends TargetState {
  /** Time of the last update of the failure ratio. */
  failureRatioAt: number
  consecutiveFailures: number
  /** Time at which this router last sent each prompt part to the target. */
  partSentAt: Map<string, number>
}

/**
 * Tracks the targets known to a router: their registrations, work in flight, health and cached prompt parts.
 * Times are monotonic milliseconds. Calls for an unknown target have no effect.
 */
export class TargetBoard {
  readonly #targets = new Map<string, TrackedTarget>()
  readonly #evacuations: zoneEvacuations.ZoneEvacuations
  /** Runs that are leaving, with their addresses. */
  readonly #leavingRuns = new Set<string>()
  readonly #serviceTimes = new workEstimate.ServiceTimes()

  constructor (evacuations = new zoneEvacuations.ZoneEvacuations()) {
    this.#evacuations = evacuations
  }

  /** Replaces all entries. Targets that are not in the list are dropped. */
  replaceEntries (entries: readonly types.TargetEntry[]): void {
    const present = new Set(entries.map((entry) => entry.id))
    for (const id of this.#targets.keys()) {
      if (!present.has(id)) this.#targets.delete(id)
    }
    for (const entry of entries) this.upsertEntry(entry)
  }

  /** Adds a target or updates its entry. A target with a new address or a later start begins with empty state; a leaving one stays leaving. */
  upsertEntry (entry: types.TargetEntry): void {
    const known = this.#targets.get(entry.id)
    if (known !== undefined && known.entry.address === entry.address && known.entry.startedAt === entry.startedAt) {
      known.entry = { ...entry, leaving: entry.leaving || known.entry.leaving }
      return
    }
    this.#targets.set(entry.id, {
      entry: { ...entry, leaving: entry.leaving || this.#leavingRuns.has(types.targetRunAtAddress(entry)) },
      ownWork: { requests: 0, unreadTokens: 0 },
      otherRoutersWork: { ...NO_OTHER_WORK },
      failureRatio: 0,
      backoffUntil: 0,
      lastStartedAt: -Infinity,
      failureRatioAt: 0,
      consecutiveFailures: 0,
      partSentAt: new Map()
    })
  }

  remove (id: string): void {
    this.#targets.delete(id)
  }

  /** Marks a target as leaving, possibly before its registration says so. */
  markLeaving (id: string): void {
    const known = this.#targets.get(id)
    if (known !== undefined) known.entry = { ...known.entry, leaving: true }
  }

  /**
   * Marks the run of a target that says itself that it leaves, for good. The mark does not fall on another run at the same address or under
   * the same id. Returns true if it is on the board and was not known to be leaving.
   */
  markRunLeaving (entry: types.TargetEntry): boolean {
    const run = types.targetRunAtAddress(entry)
    if (this.#leavingRuns.has(run)) return false
    this.#leavingRuns.add(run)
    for (const oldest of this.#leavingRuns) {
      if (this.#leavingRuns.size <= MAXIMUM_LEAVING_RUNS) break
      this.#leavingRuns.delete(oldest)
    }
    const known = this.#targets.get(entry.id)
    if (known === undefined || known.entry.leaving || types.targetRunAtAddress(known.entry) !== run) return false
    known.entry = { ...known.entry, leaving: true }
    return true
  }

  get (id: string): TargetState | undefined {
    return this.#targets.get(id)
  }

  /** Returns the targets of a service that are not leaving, in zones that are not evacuated. */
  assignableTargets (service: string): TargetState[] {
    return this.#stayingTargets(service).filter((target) => !this.isEvacuated(target.entry))
  }

  /** Returns true if the target's zone is evacuated, so that it gets nothing new. */
  isEvacuated (entry: types.TargetEntry): boolean {
    return this.#evacuations.isEvacuated(entry.availabilityZone)
  }

  /** Returns the evacuated zones to which a service is confined; empty if it has a target elsewhere, or none at all. */
  confiningZones (service: string): string[] {
    if (this.#evacuations.isEmpty) return []
    const targets = this.#stayingTargets(service)
    return targets.every((target) => this.isEvacuated(target.entry)) ? [...new Set(targets.map((target) => target.entry.availabilityZone))] : []
  }

  #stayingTargets (service: string): TargetState[] {
    return [...this.#targets.values()].filter((target) => target.entry.service === service && !target.entry.leaving)
  }

  /** Returns the slots of a service's targets that stay and can be reached, and the requests of all routers in flight at them. */
  serviceLoad (service: string, now: number): serviceRoom.ServiceLoad {
    const usable = this.assignableTargets(service).filter((target) => target.backoffUntil - now <= REFUSED_BACKOFF_MS)
    return {
      slots: usable.reduce((sum, target) => sum + target.entry.slots, 0),
      requests: usable.reduce((sum, target) => sum + target.ownWork.requests + target.otherRoutersWork.requests, 0)
    }
  }

  /** Returns the mean time until a service's first event or answer, in milliseconds. */
  readingMs (service: string): number {
    return this.#serviceTimes.lifetimes(service).readingMs
  }

  /** Returns a value of each target by its id, for metrics. */
  gauge (valueOf: (target: TargetState) => number): Record<string, number> {
    return Object.fromEntries([...this.#targets].map(([id, target]) => [id, valueOf(target)]))
  }

  entries (): types.TargetEntry[] {
    return [...this.#targets.values()].map((target) => target.entry)
  }

  /** Returns this router's work in flight by target id, for heartbeats. Idle targets are left out. */
  ownWork (): Record<string, WorkInFlight> {
    const busy = [...this.#targets.values()].filter((target) => target.ownWork.requests > 0)
    return Object.fromEntries(busy.map((target) => [target.entry.id, target.ownWork]))
  }

  /** Sets the work of the other routers by target id; targets that are not in the map get none. Without a deviation, it is taken as certain. */
  setOtherRoutersWork (work: ReadonlyMap<string, WorkInFlight & Partial<workEstimate.EstimatedWork>>): void {
    for (const [id, target] of this.#targets) target.otherRoutersWork = { ...NO_OTHER_WORK, ...work.get(id) }
  }

  /** Sets the work of the other routers to what their reports let expect now. */
  estimateOtherRoutersWork (reports: Iterable<workEstimate.WorkReport>): void {
    const serviceOfTarget = new Map([...this.#targets.values()].map(({ entry }) => [entry.id, entry.service]))
    this.setOtherRoutersWork(workEstimate.estimateWork(reports, serviceOfTarget, (service) => this.#serviceTimes.lifetimes(service)))
  }

  /** Records the times until the first event and until the end of a request to a service, by which reports of other routers age. */
  recordTimes (service: string, readingMs: number, totalMs: number): void {
    this.#serviceTimes.record(service, readingMs, totalMs)
  }

  /**
   * Counts a request for which the target was chosen, until it is sent or given up, so that requests that start together spread. Returns a
   * function that ends this; further calls of it have no effect.
   */
  recordChoice (id: string, unreadTokens: number, now: number): () => void {
    const target = this.#targets.get(id)
    if (target === undefined) return () => {}
    target.lastStartedAt = now
    target.ownWork = { requests: target.ownWork.requests + 1, unreadTokens: target.ownWork.unreadTokens + unreadTokens }
    let isCounted = true
    return () => {
      if (isCounted) target.ownWork = { requests: Math.max(0, target.ownWork.requests - 1), unreadTokens: Math.max(0, target.ownWork.unreadTokens - unreadTokens) }
      isCounted = false
    }
  }

  /** Counts a request that starts at a target, and remembers the prompt parts that it brings into the target's cache. */
  recordStart (id: string, unreadTokens: number, parts: readonly string[], now: number): void {
    const target = this.#targets.get(id)
    if (target === undefined) return
    target.lastStartedAt = now
    target.ownWork = { requests: target.ownWork.requests + 1, unreadTokens: target.ownWork.unreadTokens + unreadTokens }
    for (const part of parts) {
      target.partSentAt.delete(part)
      target.partSentAt.set(part, now)
    }
    for (const part of target.partSentAt.keys()) {
      if (target.partSentAt.size <= MAXIMUM_TRACKED_PARTS) break
      target.partSentAt.delete(part)
    }
  }

  /** Subtracts a request's prompt from the unread tokens, once its first event arrives or the request ends. */
  recordPromptRead (id: string, unreadTokens: number): void {
    const target = this.#targets.get(id)
    if (target !== undefined) target.ownWork = { ...target.ownWork, unreadTokens: Math.max(0, target.ownWork.unreadTokens - unreadTokens) }
  }

  /** Removes a request from the work in flight and updates the target's health with its result. */
  recordEnd (id: string, result: TargetResult, now: number): void {
    const target = this.#targets.get(id)
    if (target === undefined) return
    target.ownWork = { ...target.ownWork, requests: Math.max(0, target.ownWork.requests - 1) }
    updateHealth(target, result, now)
  }

  /** Updates the target's health with the result of work that was not counted as started. */
  recordResult (id: string, result: TargetResult, now: number): void {
    const target = this.#targets.get(id)
    if (target !== undefined) updateHealth(target, result, now)
  }

  /** Returns true if this router sent the prompt part to the target recently enough for it to be cached there still. */
  hasSentPartRecently (id: string, part: string, now: number): boolean {
    const sentAt = this.#targets.get(id)?.partSentAt.get(part)
    return sentAt !== undefined && now - sentAt < CACHED_PART_LIFETIME_MS
  }
}

function updateHealth (target: TrackedTarget, result: TargetResult, now: number): void {
  if (result === TargetResult.undecided) return
  if (result === TargetResult.refused) {
    target.backoffUntil = Math.max(target.backoffUntil, now + REFUSED_BACKOFF_MS)
    return
  }
  const decay = Math.pow(0.5, (now - target.failureRatioAt) / FAILURE_HALF_LIFE_MS)
  const hasFailed = result !== TargetResult.served
  target.failureRatio = Math.min(1, target.failureRatio * decay * 0.9 + (hasFailed ? 0.2 : 0))
  target.failureRatioAt = now
  target.consecutiveFailures = hasFailed ? target.consecutiveFailures + 1 : 0
  if (result !== TargetResult.unreachable) return
  const backoffMs = Math.min(MAXIMUM_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (target.consecutiveFailures - 1))
  target.backoffUntil = now + backoffMs
}
