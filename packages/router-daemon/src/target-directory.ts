import * as decisions from '@acaciaweir/decisions'
import type * as operators from '@acaciaweir/operators'
import * as runtime from '@acaciaweir/runtime'
import * as targets from '@acaciaweir/targets'
import type * as agreements from './agreement.js'

const LOAD_POLL_INTERVAL_MS = 1000

/** Consecutive failed contacts after which a target counts as silent, that is, unreachable. */
const SILENT_AFTER_FAILURES = 2

/** Time after its last failure when a silent plain service is retried, in milliseconds. An engine is probed by its load polls instead. */
const SILENT_RETRY_MS = 2000

/** How long another router's report that a target is leaving stays valid, in milliseconds. */
const LEAVING_REPORT_VALIDITY_MS = 5000

interface TargetEntry {
  manifest: operators.manifest.ManifestTarget
  engineClient: targets.engineClient.EngineClient | undefined
  serviceClient: targets.serviceClient.ServiceClient | undefined
  ownInFlight: number
  load: targets.engineTypes.LoadReport | undefined
  loadAt: number
  failures: number
  failedAt: number
  /** End of the validity of another router's report that the target is leaving, in clock milliseconds. */
  reportedLeavingUntil: number
}

/** Tracks the load and reachability of each target and whether it is leaving. Owns the connections to the targets. */
export class TargetDirectory {
  readonly #clock: decisions.clock.Clock
  readonly #logger: runtime.logging.Logger
  readonly #entries = new Map<string, TargetEntry>()
  #listedLeaving = new Set<string>()
  #loadPollTask: runtime.task.PeriodicTask | undefined

  constructor (clock: decisions.clock.Clock, logger: runtime.logging.Logger) {
    this.#clock = clock
    this.#logger = logger
  }

  start (): void {
    this.#loadPollTask = new runtime.task.PeriodicTask({
      intervalMs: LOAD_POLL_INTERVAL_MS,
      action: async () => { await this.#pollAllLoads() },
      onError: (error) => { this.#logger.error({ event: 'load-poll-failed', reason: (error as Error).message }) },
      sleep: (milliseconds, signal) => this.#clock.sleep(milliseconds, signal)
    })
  }

  async stop (): Promise<void> {
    await this.#loadPollTask?.stop()
    for (const entry of this.#entries.values()) closeEntry(entry)
  }

  /** Replaces the targets by those of a new agreement. Keeps the clients of targets whose address is unchanged. */
  applyAgreement (agreement: agreements.Agreement): void {
    for (const [id, entry] of this.#entries) {
      if (agreement.target(id)?.address === entry.manifest.address) continue
      this.#entries.delete(id)
    }
    for (const target of agreement.manifest.targets) {
      const known = this.#entries.get(target.id)
      if (known === undefined) this.#entries.set(target.id, createEntry(target))
      else known.manifest = target
    }
  }

  /** Replaces the set of targets that the platform's host list reports as leaving. */
  replaceListedLeaving (leaving: string[]): void {
    this.#listedLeaving = new Set(leaving)
  }

  /** Records targets that another router reports as leaving. */
  recordReportedLeaving (ids: readonly string[]): void {
    for (const id of ids) {
      const entry = this.#entries.get(id)
      if (entry !== undefined) entry.reportedLeavingUntil = this.#clock.now() + LEAVING_REPORT_VALIDITY_MS
    }
  }

  /** Returns the targets that report themselves as leaving or that the host list reports so. Reports of other routers are left out. */
  leavingTargets (): string[] {
    const leaving: string[] = []
    for (const [id, entry] of this.#entries) {
      if (this.#listedLeaving.has(id) || entry.load?.leaving === true) leaving.push(id)
    }
    return leaving
  }

  /** Returns the state of a target that routing decides on. Undefined for an unknown target. */
  candidate (id: string): decisions.routingTypes.Candidate | undefined {
    const entry = this.#entries.get(id)
    if (entry === undefined) return undefined
    return {
      id,
      ownInFlight: entry.ownInFlight,
      slots: entry.manifest.slots,
      reportedLoad: (entry.load?.running ?? 0) + (entry.load?.waiting ?? 0),
      reportAgeMs: entry.load === undefined ? Infinity : this.#clock.now() - entry.loadAt,
      leaving: this.#isLeaving(id, entry),
      silent: this.#isSilent(entry)
    }
  }

  engineClient (id: string): targets.engineClient.EngineClient | undefined {
    return this.#entries.get(id)?.engineClient
  }

  serviceClient (id: string): targets.serviceClient.ServiceClient | undefined {
    return this.#entries.get(id)?.serviceClient
  }

  /** Counts a request as in flight at a target. The returned function ends this. */
  trackRequest (id: string): () => void {
    const entry = this.#entries.get(id)
    if (entry === undefined) return () => {}
    entry.ownInFlight += 1
    return () => { entry.ownInFlight -= 1 }
  }

  /** Records the result of a contact, for the failure detector. */
  recordContact (id: string, hasAnswered: boolean): void {
    const entry = this.#entries.get(id)
    if (entry === undefined) return
    entry.failures = hasAnswered ? 0 : entry.failures + 1
    entry.failedAt = this.#clock.now()
  }

  #isLeaving (id: string, entry: TargetEntry): boolean {
    return entry.manifest.leaving || this.#clock.now() < entry.reportedLeavingUntil || entry.load?.leaving === true || this.#listedLeaving.has(id)
  }

  #isSilent (entry: TargetEntry): boolean {
    if (entry.failures < SILENT_AFTER_FAILURES) return false
    return entry.engineClient !== undefined || this.#clock.now() - entry.failedAt < SILENT_RETRY_MS
  }

  async #pollAllLoads (): Promise<void> {
    await Promise.all([...this.#entries].map(([id, entry]) => this.#pollLoad(id, entry)))
  }

  async #pollLoad (id: string, entry: TargetEntry): Promise<void> {
    if (entry.engineClient === undefined) return
    try {
      entry.load = await entry.engineClient.fetchLoad()
      entry.loadAt = this.#clock.now()
      this.recordContact(id, true)
    } catch {
      this.recordContact(id, false)
    }
  }
}

function createEntry (target: operators.manifest.ManifestTarget): TargetEntry {
  const isEngine = target.kind === 'engine'
  return {
    manifest: target,
    engineClient: isEngine ? new targets.engineClient.EngineClient(target.id, target.address) : undefined,
    serviceClient: isEngine ? undefined : new targets.serviceClient.ServiceClient(target.id, target.address),
    ownInFlight: 0,
    load: undefined,
    loadAt: 0,
    failures: 0,
    failedAt: -Infinity,
    reportedLeavingUntil: -Infinity
  }
}

function closeEntry (entry: TargetEntry): void {
  entry.engineClient?.close()
  entry.serviceClient?.close()
}
