import * as decisions from '@acaciaweir/decisions'
import type * as operators from '@acaciaweir/operators'
import * as runtime from '@acaciaweir/runtime'
import * as targets from '@acaciaweir/targets'
import type * as agreements from './agreement.js'

/** Time between two load reports of one target, in milliseconds. */
const LOAD_INTERVAL_MS = 1000

/** Failed contacts in a row after which a target counts as silent. */
const SILENT_AFTER_FAILURES = 2

/** Time after which a silent target without load reports is tried again, in milliseconds. */
const SILENT_RETRY_MS = 2000

/** How long another router's report about a target counts, in milliseconds. */
const REPORT_VALIDITY_MS = 5000

interface TargetEntry {
  manifest: operators.manifest.ManifestTarget
  engine: targets.engineClient.EngineClient | undefined
  service: targets.serviceClient.ServiceClient | undefined
  ownInFlight: number
  load: targets.engineTypes.LoadReport | undefined
  loadAt: number
  failures: number
  failedAt: number
  /** Until when another router's report that the target is leaving counts. */
  reportedLeavingUntil: number
}

/** What this router knows of the targets: their load, silence and leaving. Owns the connections to them. */
export class TargetDirectory {
  readonly #clock: decisions.clock.Clock
  readonly #logger: runtime.logging.Logger
  readonly #entries = new Map<string, TargetEntry>()
  #listedLeaving = new Set<string>()
  #polling: runtime.task.PeriodicTask | undefined

  constructor (clock: decisions.clock.Clock, logger: runtime.logging.Logger) {
    this.#clock = clock
    this.#logger = logger
  }

  start (): void {
    this.#polling = new runtime.task.PeriodicTask({
      intervalMs: LOAD_INTERVAL_MS,
      action: async () => { await this.#pollAll() },
      onError: (error) => { this.#logger.error({ event: 'load-poll-failed', reason: (error as Error).message }) },
      sleep: (milliseconds, signal) => this.#clock.sleep(milliseconds, signal)
    })
  }

  async stop (): Promise<void> {
    await this.#polling?.stop()
    for (const entry of this.#entries.values()) closeEntry(entry)
  }

  /** Takes the targets of a new agreement; clients of unchanged addresses are kept. */
  useAgreement (agreement: agreements.Agreement): void {
    for (const [id, entry] of this.#entries) {
      if (agreement.target(id)?.address === entry.manifest.address) continue
      this.#entries.delete(id)
    }
    for (const target of agreement.manifest.targets) {
      const known = this.#entries.get(target.id)
      if (known === undefined) this.#entries.set(target.id, newEntry(target))
      else known.manifest = target
    }
  }

  /** Takes the leaving targets of the platform's host list. */
  useHostList (leaving: string[]): void {
    this.#listedLeaving = new Set(leaving)
  }

  /** Notes targets that other routers know to be leaving. */
  noteLeaving (ids: readonly string[]): void {
    for (const id of ids) {
      const entry = this.#entries.get(id)
      if (entry !== undefined) entry.reportedLeavingUntil = this.#clock.now() + REPORT_VALIDITY_MS
    }
  }

  /** Targets that this router itself knows to be leaving, from the target or the host list. */
  leavingTargets (): string[] {
    const leaving: string[] = []
    for (const [id, entry] of this.#entries) {
      if (this.#listedLeaving.has(id) || entry.load?.leaving === true) leaving.push(id)
    }
    return leaving
  }

  /** What routing sees of a target. */
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

  engine (id: string): targets.engineClient.EngineClient | undefined {
    return this.#entries.get(id)?.engine
  }

  service (id: string): targets.serviceClient.ServiceClient | undefined {
    return this.#entries.get(id)?.service
  }

  /** Counts a request at a target; the returned function counts it out. */
  enter (id: string): () => void {
    const entry = this.#entries.get(id)
    if (entry === undefined) return () => {}
    entry.ownInFlight += 1
    return () => { entry.ownInFlight -= 1 }
  }

  /** Notes that a target answered, or did not. */
  noteContact (id: string, answered: boolean): void {
    const entry = this.#entries.get(id)
    if (entry === undefined) return
    entry.failures = answered ? 0 : entry.failures + 1
    entry.failedAt = this.#clock.now()
  }

  #isLeaving (id: string, entry: TargetEntry): boolean {
    return entry.manifest.leaving || this.#clock.now() < entry.reportedLeavingUntil || entry.load?.leaving === true || this.#listedLeaving.has(id)
  }

  #isSilent (entry: TargetEntry): boolean {
    if (entry.failures < SILENT_AFTER_FAILURES) return false
    return entry.engine !== undefined || this.#clock.now() - entry.failedAt < SILENT_RETRY_MS
  }

  async #pollAll (): Promise<void> {
    await Promise.all([...this.#entries].map(([id, entry]) => this.#poll(id, entry)))
  }

  async #poll (id: string, entry: TargetEntry): Promise<void> {
    if (entry.engine === undefined) return
    try {
      entry.load = await entry.engine.load()
      entry.loadAt = this.#clock.now()
      this.noteContact(id, true)
    } catch {
      this.noteContact(id, false)
    }
  }
}

function newEntry (target: operators.manifest.ManifestTarget): TargetEntry {
  const isEngine = target.kind === 'engine'
  return {
    manifest: target,
    engine: isEngine ? new targets.engineClient.EngineClient(target.id, target.address) : undefined,
    service: isEngine ? undefined : new targets.serviceClient.ServiceClient(target.id, target.address),
    ownInFlight: 0,
    load: undefined,
    loadAt: 0,
    failures: 0,
    failedAt: -Infinity,
    reportedLeavingUntil: -Infinity
  }
}

function closeEntry (entry: TargetEntry): void {
  entry.engine?.close()
  entry.service?.close()
}
