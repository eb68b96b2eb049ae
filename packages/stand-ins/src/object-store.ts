import * as decisions from '@acaciaweir/decisions'

/** Faults of the stand-in platform, switched at run time. */
export interface PlatformFaults {
  /** Added to each call, in milliseconds. */
  delayMs: number
  /** Refuses every call. */
  down: boolean
  /** Share of writes, from 0 to 1, whose answer is dropped after the write took effect. */
  lostAnswerShare: number
  /** Watches wake only when their time is over. */
  watchGap: boolean
  /** How far the host list lags behind, in milliseconds. */
  hostListLagMs: number
}

/** No faults. */
export const noPlatformFaults: PlatformFaults = { delayMs: 0, down: false, lostAnswerShare: 0, watchGap: false, hostListLagMs: 0 }

interface StoredEntry {
  version: number
  value: unknown
}

/** Outcome of a conditional change. */
export type ChangeOutcome = { kind: 'written', version: string } | { kind: 'conflict' }

/** Versioned objects in memory, with conditional updates and change notice. */
export class ObjectStore {
  readonly #entries = new Map<string, StoredEntry>()
  readonly #waiting = new Map<string, Set<() => void>>()
  readonly #random: decisions.random.RandomSource
  faults: PlatformFaults = { ...noPlatformFaults }
  #clock = 0

  constructor (seed: number) {
    this.#random = new decisions.random.SeededRandom(seed)
  }

  read (key: string): { key: string, version: string, value: unknown } | undefined {
    const entry = this.#entries.get(key)
    if (entry === undefined) return undefined
    return { key, version: String(entry.version), value: entry.value }
  }

  list (prefix: string): Array<{ key: string, version: string, value: unknown }> {
    const found = []
    for (const [key, entry] of this.#entries) {
      if (key.startsWith(prefix)) found.push({ key, version: String(entry.version), value: entry.value })
    }
    return found
  }

  write (key: string, value: unknown, expectedVersion: string | undefined): ChangeOutcome {
    if (!this.#versionIs(key, expectedVersion)) return { kind: 'conflict' }
    this.#clock += 1
    this.#entries.set(key, { version: this.#clock, value })
    this.#wake(key)
    return { kind: 'written', version: String(this.#clock) }
  }

  remove (key: string, expectedVersion: string | undefined): ChangeOutcome {
    if (!this.#versionIs(key, expectedVersion)) return { kind: 'conflict' }
    this.#entries.delete(key)
    this.#clock += 1
    this.#wake(key)
    return { kind: 'written', version: String(this.#clock) }
  }

  /** Resolves when the object's version differs from the known one, or the time is over. */
  async changed (key: string, knownVersion: string, waitMs: number): Promise<void> {
    const present = this.read(key)?.version ?? ''
    if (present !== knownVersion) return
    await new Promise<void>((resolve) => {
      const waiters = this.#waiting.get(key) ?? new Set()
      this.#waiting.set(key, waiters)
      const finish = (): void => {
        clearTimeout(timer)
        waiters.delete(finish)
        resolve()
      }
      const timer = setTimeout(finish, waitMs)
      waiters.add(finish)
    })
  }

  /** True for the share of answers that the faults say are lost. */
  losesAnswer (): boolean {
    if (this.faults.lostAnswerShare === 0) return false
    return this.#random.integer(1000) < this.faults.lostAnswerShare * 1000
  }

  #versionIs (key: string, expectedVersion: string | undefined): boolean {
    const entry = this.#entries.get(key)
    if (expectedVersion === undefined) return entry === undefined
    return entry !== undefined && String(entry.version) === expectedVersion
  }

  #wake (key: string): void {
    if (this.faults.watchGap) return
    for (const finish of [...this.#waiting.get(key) ?? []]) finish()
  }
}
