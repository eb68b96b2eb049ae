import type * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import * as watches from './object-watch.js'

/** Time after a store outage for targets whose entries expired during it to register again, in milliseconds. */
const EXPIRED_ENTRY_GRACE_MS = 2000

/** Watches the registered targets and applies their changes to the board. */
export class TargetWatch extends watches.ObjectWatch {
  readonly #board: decisions.targetBoard.TargetBoard
  readonly #clock: decisions.clock.Clock
  /** Store revision of the last entry read for each target, by target ID. */
  readonly #entryRevisions = new Map<string, number>()
  #changeRevision = 0

  constructor (options: Omit<watches.ObjectWatchOptions, 'kind'>, board: decisions.targetBoard.TargetBoard) {
    super({ ...options, kind: adapter.objectKinds.ObjectKind.targets })
    this.#board = board
    this.#clock = options.clock
  }

  /**
   * Store revision up to which this gateway knows the targets, from the store or from another gateway; 0 before the first
   * list. Unlike `revision`, it does not move with a watch that returned no changes.
   */
  get changeRevision (): number {
    return this.#changeRevision
  }

  /** Replaces all targets by those of another gateway, if its revision is newer. */
  applyFromPeer (entries: decisions.agreementTypes.TargetEntry[], revision: number): void {
    if (revision <= this.#changeRevision) return
    this.logger.info({ event: 'targets-from-gateway', revision, previous: this.#changeRevision, targets: entries.length })
    this.#changeRevision = revision
    this.#board.replaceEntries(entries)
  }

  protected override applyList (objects: platform.objectStore.StoreObject[], revision: number, afterOutage: boolean): void {
    this.#changeRevision = Math.max(this.#changeRevision, revision)
    const entries = objects.map((object) => this.#decode(object)).filter((entry) => entry !== undefined)
    const present = new Set(entries.map((entry) => entry.id))
    const missing = this.#board.entries().filter((entry) => !present.has(entry.id))
    this.logger.info({ event: 'targets-listed', revision, targets: entries.length, missing: missing.length, afterOutage })
    for (const entry of entries) this.#board.upsertEntry(entry)
    if (!afterOutage) {
      for (const entry of missing) this.#remove(entry.id, revision)
      return
    }
    void this.#removeAfterGrace(missing.map((entry) => entry.id), revision)
  }

  protected override applyEvents (events: platform.objectStore.ObjectEvent[], revision: number): void {
    this.#changeRevision = Math.max(this.#changeRevision, revision)
    for (const event of events) {
      if (event.removed) this.#remove(event.object.name, revision)
      else this.#put(event.object)
    }
  }

  #put (object: platform.objectStore.StoreObject): void {
    const entry = this.#decode(object)
    if (entry === undefined) return
    const known = this.#board.get(entry.id)
    if (known === undefined || known.entry.leaving !== entry.leaving) {
      this.logger.info({ event: entry.leaving ? 'target-leaving' : 'target-found', target: entry.id, service: entry.service, address: entry.address, revision: object.revision })
    }
    this.#board.upsertEntry(entry)
  }

  #remove (id: string, revision: number): void {
    if (this.#board.get(id) === undefined) return
    this.logger.info({ event: 'target-gone', target: id, revision })
    this.#entryRevisions.delete(id)
    this.#board.remove(id)
  }

  /** Removes those targets that have not registered again by the end of the grace period, that is, whose last entry is not newer than the list. */
  async #removeAfterGrace (ids: string[], revision: number): Promise<void> {
    await this.#clock.sleep(EXPIRED_ENTRY_GRACE_MS)
    for (const id of ids) {
      if ((this.#entryRevisions.get(id) ?? 0) <= revision) this.#remove(id, revision)
    }
  }

  #decode (object: platform.objectStore.StoreObject): decisions.agreementTypes.TargetEntry | undefined {
    const entry = adapter.targetEntries.decodeTargetEntry(object)
    if (entry === undefined) this.logger.warn({ event: 'target-entry-skipped', target: object.name, revision: object.revision })
    else this.#entryRevisions.set(entry.id, object.revision)
    return entry
  }
}
