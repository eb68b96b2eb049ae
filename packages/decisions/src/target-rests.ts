/** Longest time for which a target's word is kept, in milliseconds. A longer one is more likely a mistake than a plan. */
const MAXIMUM_REST_MS = 600_000

/** Runs of targets that are remembered. */
const MAXIMUM_REMEMBERED_RUNS = 500

/**
 * Targets that asked this router for rest: they turned a request away and said for how long they want no other from it. Other routers may
 * use them. Runs of targets are named as by `targetLifetime`; times are monotonic milliseconds.
 */
export class TargetRests {
  readonly #until = new Map<string, number>()

  /** Remembers that a run of a target wants nothing for `restMs` milliseconds. Returns true if it did not rest already. */
  record (run: string, restMs: number, now: number): boolean {
    const isNew = !this.isResting(run, now)
    const until = Math.max(this.#until.get(run) ?? 0, now + Math.min(restMs, MAXIMUM_REST_MS))
    this.#until.delete(run)
    this.#until.set(run, until)
    this.#forget(now)
    return isNew
  }

  isResting (run: string, now: number): boolean {
    return (this.#until.get(run) ?? 0) > now
  }

  /** Returns the time until the first of the given runs ends its rest, in milliseconds; undefined if none of them rests. */
  firstEndMs (runs: readonly string[], now: number): number | undefined {
    const ends = runs.filter((run) => this.isResting(run, now)).map((run) => (this.#until.get(run) ?? 0) - now)
    return ends.length === 0 ? undefined : Math.min(...ends)
  }

  #forget (now: number): void {
    if (this.#until.size <= MAXIMUM_REMEMBERED_RUNS) return
    for (const [run, until] of this.#until) {
      if (until <= now) this.#until.delete(run)
    }
  }
}
