import * as platform from '@acaciaweir/platform'

type Outcome<Result> = platform.objectStore.StoreOutcome<Result>
type StoreObject = platform.objectStore.StoreObject

/**
 * How the store handles one write. `lost` and `lost-not-applied` lose the answer, after or without applying the write; `late` loses the
 * answer and applies the write just before the next one.
 */
export const WriteOutcome = { done: 'done', refused: 'refused', lost: 'lost', lostNotApplied: 'lost-not-applied', late: 'late' } as const
export type WriteOutcome = typeof WriteOutcome[keyof typeof WriteOutcome]

/** In-memory store of a single token page, whose writes are refused, lost or delayed as scripted. */
export class FakePageStore extends platform.objectStore.ObjectStore {
  page: StoreObject | undefined
  /** Refuses all calls while true. */
  isDown = false
  calls = 0
  readonly #writeOutcomes: WriteOutcome[]
  readonly #delayedWrites: Array<() => void> = []
  #revision = 0

  constructor (outcomes: WriteOutcome[] = []) {
    super()
    this.#writeOutcomes = outcomes
  }

  override async read (): Promise<Outcome<StoreObject>> {
    this.calls += 1
    if (this.isDown) return { status: 'refused', step: 'read', reason: 'down' }
    return this.page === undefined ? { status: 'missing', step: 'read', reason: '' } : { status: 'done', result: this.page }
  }

  override async create (_kind: string, name: string, value: unknown): Promise<Outcome<StoreObject>> {
    return this.#write(() => this.page === undefined, name, value)
  }

  override async replace (_kind: string, name: string, value: unknown, revision: number): Promise<Outcome<StoreObject>> {
    return this.#write(() => this.page?.revision === revision, name, value)
  }

  override async list (): Promise<never> { throw new Error('FakePageStore supports only read, create and replace') }
  override async watch (): Promise<never> { throw new Error('FakePageStore supports only read, create and replace') }
  override async remove (): Promise<never> { throw new Error('FakePageStore supports only read, create and replace') }

  #write (isRevisionCurrent: () => boolean, name: string, value: unknown): Outcome<StoreObject> {
    this.calls += 1
    const outcome = this.isDown ? WriteOutcome.refused : this.#writeOutcomes.shift() ?? WriteOutcome.done
    const apply = (): boolean => {
      if (!isRevisionCurrent()) return false
      this.#revision += 1
      this.page = { name, revision: this.#revision, value }
      return true
    }
    if (outcome === WriteOutcome.refused) return { status: 'refused', step: 'write', reason: '' }
    for (const applyDelayed of this.#delayedWrites.splice(0)) applyDelayed()
    if (outcome === WriteOutcome.late) this.#delayedWrites.push(apply)
    if (outcome === WriteOutcome.lost) apply()
    if (outcome !== WriteOutcome.done) return { status: 'unknown', step: 'write', reason: '' }
    if (apply()) return { status: 'done', result: this.page as StoreObject }
    return { status: 'conflict', step: 'write', reason: '', currentObject: this.page }
  }
}

/** Clock that moves only when a test sets its time. `sleep` returns at once. */
export class ManualClock {
  time = 0
  now (): number { return this.time }
  wallNow (): number { return this.time }
  async sleep (): Promise<void> {}
}
