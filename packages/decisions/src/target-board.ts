import type * as types from './agreement-types.js'

/** Outcome of sending work to a target, as far as its health is concerned. */
export const TargetResult = { served: 'served', refused: 'refused', failed: 'failed', unreachable: 'unreachable' } as const
export type TargetResult = typeof TargetResult[keyof typeof TargetResult]

/** Half-life of a target's failure ratio, in milliseconds. */
const FAILURE_HALF_LIFE_MS = 4000

/** First time that an unreachable target is set aside, in milliseconds. Doubles with each failure in a row. */
const FIRST_SET_ASIDE_MS = 500

/** Longest time that a target is set aside, in milliseconds. */
const LONGEST_SET_ASIDE_MS = 4000

/** Time that a target which refused work as full is left alone, in milliseconds. */
const FULL_PAUSE_MS = 100

/** Time for which a prompt part is taken to be in the cache of a target that read it, in milliseconds. */
const PART_MEMORY_MS = 20_000

/** Prompt parts remembered for one target. */
const PARTS_REMEMBERED = 2000

/** Work in flight at a target. */
export interface Work {
  requests: number
  /** Time to read the prompts of requests that have no first event yet, in tokens of a short prompt. */
  unreadTokens: number
}

/** What a router knows of one target. */
export interface TargetState {
  entry: types.TargetEntry
  own: Work
  /** Work of the other routers, as last heard. */
  others: Work
  /** Share of recent work that failed, 0 to 1. */
  failureRatio: number
  setAsideUntil: number
}

interface TrackedTarget extends TargetState {
  failureAt: number
  failuresInRow: number
  /** Time at which each prompt part was last sent here. */
  parts: Map<string, number>
}

/** The targets that a router knows, with work in flight, health and cached prompt parts. */
export class TargetBoard {
  readonly #targets = new Map<string, TrackedTarget>()

  /** Takes the registered targets. Those that are missing are forgotten. */
  use (entries: readonly types.TargetEntry[]): void {
    const present = new Set(entries.map((entry) => entry.id))
    for (const id of this.#targets.keys()) {
      if (!present.has(id)) this.#targets.delete(id)
    }
    for (const entry of entries) this.put(entry)
  }

  /** Adds a target or takes its changed entry. */
  put (entry: types.TargetEntry): void {
    const known = this.#targets.get(entry.id)
    if (known !== undefined && known.entry.address === entry.address) {
      known.entry = { ...entry, leaving: entry.leaving || known.entry.leaving }
      return
    }
    this.#targets.set(entry.id, {
      entry,
      own: { requests: 0, unreadTokens: 0 },
      others: { requests: 0, unreadTokens: 0 },
      failureRatio: 0,
      setAsideUntil: 0,
      failureAt: 0,
      failuresInRow: 0,
      parts: new Map()
    })
  }

  remove (id: string): void {
    this.#targets.delete(id)
  }

  /** Notes that a target is leaving, also before its entry says so. */
  markLeaving (id: string): void {
    const known = this.#targets.get(id)
    if (known !== undefined) known.entry = { ...known.entry, leaving: true }
  }

  get (id: string): TargetState | undefined {
    return this.#targets.get(id)
  }

  /** Targets of a service that are not leaving. */
  ofService (service: string): TargetState[] {
    return [...this.#targets.values()].filter((target) => target.entry.service === service && !target.entry.leaving)
  }

  entries (): types.TargetEntry[] {
    return [...this.#targets.values()].map((target) => target.entry)
  }

  /** Work of this router by target, for heartbeats. */
  ownWork (): Record<string, Work> {
    const busy = [...this.#targets.values()].filter((target) => target.own.requests > 0)
    return Object.fromEntries(busy.map((target) => [target.entry.id, target.own]))
  }

  /** Takes the summed work of the other routers. */
  useOthersWork (work: ReadonlyMap<string, Work>): void {
    for (const [id, target] of this.#targets) target.others = work.get(id) ?? { requests: 0, unreadTokens: 0 }
  }

  started (id: string, unreadTokens: number, parts: readonly string[], now: number): void {
    const target = this.#targets.get(id)
    if (target === undefined) return
    target.own = { requests: target.own.requests + 1, unreadTokens: target.own.unreadTokens + unreadTokens }
    for (const part of parts) {
      target.parts.delete(part)
      target.parts.set(part, now)
    }
    for (const part of target.parts.keys()) {
      if (target.parts.size <= PARTS_REMEMBERED) break
      target.parts.delete(part)
    }
  }

  /** Notes that a request's prompt was read: its first event came, or it ended. */
  promptRead (id: string, unreadTokens: number): void {
    const target = this.#targets.get(id)
    if (target !== undefined) target.own = { ...target.own, unreadTokens: Math.max(0, target.own.unreadTokens - unreadTokens) }
  }

  ended (id: string, result: TargetResult, now: number): void {
    const target = this.#targets.get(id)
    if (target === undefined) return
    target.own = { ...target.own, requests: Math.max(0, target.own.requests - 1) }
    noteResult(target, result, now)
  }

  /** Notes a result of work that was not counted as started. */
  noteResult (id: string, result: TargetResult, now: number): void {
    const target = this.#targets.get(id)
    if (target !== undefined) noteResult(target, result, now)
  }

  /** Whether this router sent the part to the target lately. */
  holdsPart (id: string, part: string, now: number): boolean {
    const at = this.#targets.get(id)?.parts.get(part)
    return at !== undefined && now - at < PART_MEMORY_MS
  }
}

function noteResult (target: TrackedTarget, result: TargetResult, now: number): void {
  if (result === TargetResult.refused) {
    target.setAsideUntil = Math.max(target.setAsideUntil, now + FULL_PAUSE_MS)
    return
  }
  const decay = Math.pow(0.5, (now - target.failureAt) / FAILURE_HALF_LIFE_MS)
  const failed = result !== TargetResult.served
  target.failureRatio = Math.min(1, target.failureRatio * decay * 0.9 + (failed ? 0.2 : 0))
  target.failureAt = now
  target.failuresInRow = failed ? target.failuresInRow + 1 : 0
  if (result !== TargetResult.unreachable) return
  const pause = Math.min(LONGEST_SET_ASIDE_MS, FIRST_SET_ASIDE_MS * 2 ** (target.failuresInRow - 1))
  target.setAsideUntil = now + pause
}
