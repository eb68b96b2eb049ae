import * as types from './agreement-types.js'

/** Age by which another router's word must be newer to count. Words are passed on, and each passage makes one look newer by its delay. */
const NEWER_BY_MS = 500

/** Age of a word that may have been in the store for any time, in milliseconds. Every other word on the same run is newer. */
const UNKNOWN_AGE_MS = 1_000_000_000

/** Time for which routers are told that a target became warm before the announced time, in milliseconds. */
const WARM_REPORT_MS = 5000

/** Longest time for which a target's word is kept, in milliseconds. A longer one is more likely a mistake than a plan. */
const MAXIMUM_COLD_MS = 600_000

/** Targets of which a word is remembered. */
const MAXIMUM_TARGETS = 2000

/** Targets that one report names. */
const MAXIMUM_REPORTS = 100

/** From where a router knows that a target is cold or warm. */
export const ColdSource = { entry: 'entry', answer: 'answer', router: 'router', time: 'time' } as const
export type ColdSource = typeof ColdSource[keyof typeof ColdSource]

/** What one router knows of a cold target, for the others. */
export interface ColdTargetReport {
  target: string
  /** Start of the run, in milliseconds since 1970; 0 if the target does not say. */
  startedAt: number
  /** Time for which the target stays cold, in milliseconds; 0 if it is warm. */
  remainingMs: number
  /** Time since the target said so, in milliseconds. */
  ageMs: number
}

/** A target became cold or warm, as a word `ageMs` old said. */
export interface ColdChange {
  target: string
  isCold: boolean
  remainingMs: number
  source: ColdSource
  ageMs: number
}

/** A target that is cold now. */
export interface ColdPhase {
  /** Name of the run, on which all routers agree that know it to be cold. */
  run: string
  /** Requests a second that the target takes from all routers together. */
  perSecond: number
  /** Part of a cold start that is left, from 0 to 1. */
  share: number
}

interface Word {
  /** Service of the target; undefined while only other routers have told of it. */
  service: string | undefined
  startedAt: number
  /** Monotonic times, in milliseconds. */
  saidAt: number
  coldUntil: number
  /** Remaining time in the target's entry when it was last read; undefined if it has not been read. */
  entryMs: number | undefined
  /** The target said that it is warm before the time that it had announced. */
  hasEndedEarly: boolean
}

/**
 * Targets that are cold, by target: just started, or cold again, so that they are slow and take few requests. Times are monotonic milliseconds.
 * Words on targets of services without a cold start are kept without effect, as the configuration may come later.
 */
export class ColdTargets {
  readonly #words = new Map<string, Word>()
  /** Targets of which the listener was last told that they are cold. */
  readonly #reportedCold = new Set<string>()
  readonly #coldStartOf: (service: string) => types.ColdStart | undefined
  readonly #onChange: (change: ColdChange) => void

  constructor (coldStartOf: (service: string) => types.ColdStart | undefined, onChange: (change: ColdChange) => void) {
    this.#coldStartOf = coldStartOf
    this.#onChange = onChange
  }

  /**
   * Records the registration of a target. One that is read again unchanged is no news. Start times are compared for equality only, as clocks of
   * hosts differ: a changed registration is about the latest run. Another run whose registration does not say how long it
   * is cold is so for a whole cold start. `isChange` tells that the registration has just changed; one from a list may be as old as the run.
   */
  recordEntry (entry: types.TargetEntry, isChange: boolean, now: number): void {
    const startedAt = entry.startedAt ?? 0
    const known = this.#words.get(entry.id)
    if (known !== undefined) known.service = entry.service
    if (known?.startedAt === startedAt && (entry.coldMs === undefined || entry.coldMs === known.entryMs)) return
    const assumedMs = known === undefined ? 0 : this.#coldStartOf(entry.service)?.milliseconds ?? 0
    const statedMs = entry.coldMs ?? assumedMs
    const leftMs = this.#leftMs(entry.id, now)
    if (!isChange && known?.startedAt === startedAt && statedMs <= leftMs) return
    // A list may miss the latest change, so that it makes no target warm.
    const remainingMs = isChange ? statedMs : Math.max(statedMs, leftMs)
    this.#set(entry.id, { service: entry.service, startedAt, saidAt: isChange ? now : now - UNKNOWN_AGE_MS, remainingMs, entryMs: entry.coldMs }, ColdSource.entry, now)
  }

  /** Records what a target said of itself in an answer. Returns true if other routers should hear of it at once. */
  recordAnswer (entry: types.TargetEntry, remainingMs: number, now: number): boolean {
    const startedAt = entry.startedAt ?? 0
    const known = this.#words.get(entry.id)
    const isCold = known !== undefined && known.coldUntil > now
    if (known !== undefined && known.startedAt !== startedAt && (isCold || remainingMs === 0)) return false
    const wasCold = known?.startedAt === startedAt && isCold
    this.#set(entry.id, { service: entry.service, startedAt, saidAt: now, remainingMs, entryMs: known?.entryMs }, ColdSource.answer, now)
    return this.#hasColdStart(entry.service) && wasCold !== (remainingMs > 0)
  }

  /** Takes over what another router reported, where it is newer, or about another run that stays cold for longer. */
  merge (reports: readonly ColdTargetReport[], now: number): void {
    for (const { target, startedAt, remainingMs, ageMs } of reports) {
      const known = this.#words.get(target)
      const saidAt = now - ageMs
      const isSameRun = known?.startedAt === startedAt
      const isNewer = known === undefined || saidAt > known.saidAt + NEWER_BY_MS
      if (isSameRun ? !isNewer : remainingMs <= (isNewer ? 0 : this.#leftMs(target, now))) continue
      this.#set(target, { service: known?.service, startedAt, saidAt, remainingMs, entryMs: isSameRun ? known.entryMs : undefined }, ColdSource.router, now)
    }
  }

  /** Returns what the other routers should know, on the targets that stay cold longest if there are many. Tells the listener of targets whose cold phase has ended as announced. */
  reports (now: number): ColdTargetReport[] {
    for (const target of this.#reportedCold) {
      if (this.remainingMs(target, now) === 0) this.#tell(target, ColdSource.time, now)
    }
    const news = [...this.#words].filter(([, word]) => this.#hasColdStart(word.service) && (word.coldUntil > now || (word.hasEndedEarly && now - word.saidAt <= WARM_REPORT_MS)))
    if (news.length > MAXIMUM_REPORTS) news.sort(([, a], [, b]) => b.coldUntil - a.coldUntil)
    return news.slice(0, MAXIMUM_REPORTS).map(([target, word]) => {
      return { target, startedAt: word.startedAt, remainingMs: this.remainingMs(target, now), ageMs: Math.round(now - word.saidAt) }
    })
  }

  /** Returns the cold phase of a target; undefined if it is warm, or its service has no cold start. */
  phaseOf (entry: types.TargetEntry, now: number): ColdPhase | undefined {
    const word = this.#words.get(entry.id)
    if (word === undefined || word.coldUntil <= now) return undefined
    const coldStart = this.#coldStartOf(entry.service)
    if (coldStart === undefined) return undefined
    return { run: types.targetLifetime({ ...entry, startedAt: word.startedAt === 0 ? undefined : word.startedAt }), perSecond: coldStart.perSecond, share: Math.min(1, (word.coldUntil - now) / coldStart.milliseconds) }
  }

  /** Returns how much longer a target stays cold, in milliseconds; 0 if it is warm, or its service has no cold start. */
  remainingMs (target: string, now: number): number {
    return this.#hasColdStart(this.#words.get(target)?.service) ? this.#leftMs(target, now) : 0
  }

  /** Returns the number of targets that are cold. */
  count (now: number): number {
    return [...this.#words.values()].filter((word) => word.coldUntil > now && this.#hasColdStart(word.service)).length
  }

  #leftMs (target: string, now: number): number {
    return Math.max(0, Math.ceil((this.#words.get(target)?.coldUntil ?? now) - now))
  }

  /** Returns true for an unknown service too, as only routers report a target that know its service to have a cold start. */
  #hasColdStart (service: string | undefined): boolean {
    return service === undefined || this.#coldStartOf(service) !== undefined
  }

  #set (target: string, word: Pick<Word, 'service' | 'startedAt' | 'saidAt' | 'entryMs'> & { remainingMs: number }, source: ColdSource, now: number): void {
    const { service, startedAt, saidAt, entryMs } = word
    const known = this.#words.get(target)
    const remainingMs = Math.min(word.remainingMs, MAXIMUM_COLD_MS)
    const hasEndedEarly = remainingMs === 0 && known?.startedAt === startedAt && (known.coldUntil > now || known.hasEndedEarly)
    this.#words.delete(target)
    this.#words.set(target, { service, startedAt, saidAt, coldUntil: now + remainingMs, entryMs, hasEndedEarly })
    this.#tell(target, source, now)
    if (this.#words.size <= MAXIMUM_TARGETS) return
    const [oldest] = this.#words.keys()
    this.#words.delete(oldest)
  }

  #tell (target: string, source: ColdSource, now: number): void {
    const remainingMs = this.remainingMs(target, now)
    const isCold = remainingMs > 0
    if (this.#reportedCold.has(target) === isCold) return
    if (isCold) this.#reportedCold.add(target)
    else this.#reportedCold.delete(target)
    this.#onChange({ target, isCold, remainingMs, source, ageMs: Math.round(now - (this.#words.get(target)?.saidAt ?? now)) })
  }
}
