import * as platform from '@acaciaweir/platform'

type Outcome<Result> = platform.objectStore.StoreOutcome<Result>
type StoreObject = platform.objectStore.StoreObject

/** What the store does with one write. */
export const Fate = { done: 'done', refused: 'refused', lost: 'lost', lostUndone: 'lost-undone', late: 'late' } as const
export type Fate = typeof Fate[keyof typeof Fate]

/** One page, with writes that may be refused, lost, or done late. */
export class OnePageStore extends platform.objectStore.ObjectStore {
  page: StoreObject | undefined
  /** Turns all calls away. */
  down = false
  calls = 0
  readonly #fates: Fate[]
  readonly #late: Array<() => void> = []
  #revision = 0

  constructor (fates: Fate[] = []) {
    super()
    this.#fates = fates
  }

  override async read (): Promise<Outcome<StoreObject>> {
    this.calls += 1
    if (this.down) return { status: 'refused', step: 'read', reason: 'down' }
    return this.page === undefined ? { status: 'missing', step: 'read', reason: '' } : { status: 'done', result: this.page }
  }

  override async create (_kind: string, name: string, value: unknown): Promise<Outcome<StoreObject>> {
    return this.#write(() => this.page === undefined, name, value)
  }

  override async replace (_kind: string, name: string, value: unknown, revision: number): Promise<Outcome<StoreObject>> {
    return this.#write(() => this.page?.revision === revision, name, value)
  }

  override async list (): Promise<never> { throw new Error('not used') }
  override async watch (): Promise<never> { throw new Error('not used') }
  override async remove (): Promise<never> { throw new Error('not used') }

  #write (holds: () => boolean, name: string, value: unknown): Outcome<StoreObject> {
    this.calls += 1
    const fate = this.down ? Fate.refused : this.#fates.shift() ?? Fate.done
    const apply = (): boolean => {
      if (!holds()) return false
      this.#revision += 1
      this.page = { name, revision: this.#revision, value }
      return true
    }
    if (fate === Fate.refused) return { status: 'refused', step: 'write', reason: '' }
    for (const late of this.#late.splice(0)) late()
    if (fate === Fate.late) this.#late.push(apply)
    if (fate === Fate.lost) apply()
    if (fate !== Fate.done) return { status: 'unknown', step: 'write', reason: '' }
    if (apply()) return { status: 'done', result: this.page as StoreObject }
    return { status: 'conflict', step: 'write', reason: '', present: this.page }
  }
}

/** A clock that stands still between steps. */
export class StepClock {
  time = 0
  now (): number { return this.time }
  wallNow (): number { return this.time }
  async sleep (): Promise<void> {}
}
