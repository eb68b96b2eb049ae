import * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import * as watches from './object-watch.js'

/** Time after a store outage for targets whose entries expired during it to register again, in milliseconds. */
const EXPIRED_ENTRY_GRACE_MS = 2000

/** Time for which removed targets are remembered, in milliseconds. A store that comes back from a backup some seconds old lists those again that left after it. */
const REMOVAL_MEMORY_MS = 30_000

/** Watches the registered targets and applies their changes to the board. */
export class TargetWatch extends watches.ObjectWatch {
  readonly #board: decisions.targetBoard.TargetBoard
  readonly #coldTargets: decisions.coldTargets.ColdTargets
  readonly #clock: decisions.clock.Clock
  /** Store revision of the last entry read for each target, by target ID. */
  readonly #entryRevisions = new Map<string, number>()
  /** Times at which runs of targets were removed, in milliseconds. */
  readonly #removedAt = new Map<string, number>()
  /** Epoch of the store in which the targets were last listed; 0 before. */
  #listedEpoch = 0
  #version = decisions.storeVersion.NO_VERSION

  constructor (options: Omit<watches.ObjectWatchOptions, 'kind'>, board: decisions.targetBoard.TargetBoard, coldTargets: decisions.coldTargets.ColdTargets) {
    super({ ...options, kind: adapter.objectKinds.ObjectKind.targets })
    this.#board = board
    this.#coldTargets = coldTargets
    this.#clock = options.clock
  }

  /**
   * Version of the store up to which this gateway knows the targets, from the store or from another gateway. Unlike `revision`, it
   * does not move with a watch that returned no changes.
   */
  get version (): decisions.storeVersion.StoreVersion {
    return this.#version
  }

  /** Returns true once this gateway knows the targets. */
  get isKnown (): boolean {
    return decisions.storeVersion.isNewer(this.#version, decisions.storeVersion.NO_VERSION)
  }

  /** Replaces all targets by those of another gateway, if its version is newer. */
  applyFromPeer (entries: decisions.agreementTypes.TargetEntry[], version: decisions.storeVersion.StoreVersion): void {
    if (!decisions.storeVersion.isNewer(version, this.#version)) return
    this.logger.info({ event: 'targets-from-gateway', ...version, previous: this.#version, targets: entries.length })
    this.#version = version
    this.#recordColdPhases(entries, false)
    this.#board.replaceEntries(entries)
  }

  protected override applyList (objects: platform.objectStore.StoreObject[], revision: number, afterOutage: boolean): void {
    const isRestored = this.#listedEpoch > 0 && this.#listedEpoch !== this.epoch
    // Revisions of another epoch say nothing about which entries were written after this list.
    if (isRestored) this.#entryRevisions.clear()
    this.#listedEpoch = this.epoch
    this.#advance(revision)
    const entries = objects.map((object) => this.#decode(object)).filter((entry) => entry !== undefined).filter((entry) => !isRestored || !this.#wasRemoved(entry))
    const present = new Set(entries.map((entry) => entry.id))
    const missing = this.#board.entries().filter((entry) => !present.has(entry.id))
    this.logger.info({ event: 'targets-listed', revision, targets: entries.length, missing: missing.length, afterOutage })
    this.#recordColdPhases(entries, false)
    for (const entry of entries) this.#board.upsertEntry(entry)
    if (!afterOutage) {
      for (const entry of missing) this.#remove(entry.id, revision)
      return
    }
    void this.#removeAfterGrace(missing.map((entry) => entry.id), revision)
  }

  protected override applyEvents (events: platform.objectStore.ObjectEvent[], revision: number): void {
    this.#advance(revision)
    for (const event of events) {
      if (event.removed) this.#remove(event.object.name, revision)
      else this.#put(event.object)
    }
  }

  #advance (revision: number): void {
    const version = { epoch: this.epoch, revision }
    if (decisions.storeVersion.isNewer(version, this.#version)) this.#version = version
  }

  #put (object: platform.objectStore.StoreObject): void {
    const entry = this.#decode(object)
    if (entry === undefined) return
    this.#removedAt.delete(decisions.agreementTypes.targetRunAtAddress(entry))
    const known = this.#board.get(entry.id)
    if (known === undefined || known.entry.leaving !== entry.leaving) {
      this.logger.info({ event: entry.leaving ? 'target-leaving' : 'target-found', target: entry.id, service: entry.service, address: entry.address, revision: object.revision })
    }
    this.#recordColdPhases([entry], true)
    this.#board.upsertEntry(entry)
  }

  #recordColdPhases (entries: decisions.agreementTypes.TargetEntry[], isChange: boolean): void {
    const now = this.#clock.now()
    for (const entry of entries) this.#coldTargets.recordEntry(entry, isChange, now)
  }

  #remove (id: string, revision: number): void {
    const removed = this.#board.get(id)
    if (removed === undefined) return
    this.logger.info({ event: 'target-gone', target: id, revision })
    this.#rememberRemoval(removed.entry)
    this.#entryRevisions.delete(id)
    this.#board.remove(id)
  }

  #rememberRemoval (entry: decisions.agreementTypes.TargetEntry): void {
    const now = this.#clock.now()
    for (const [run, removedAt] of this.#removedAt) {
      if (now - removedAt > REMOVAL_MEMORY_MS) this.#removedAt.delete(run)
    }
    this.#removedAt.set(decisions.agreementTypes.targetRunAtAddress(entry), now)
  }

  #wasRemoved (entry: decisions.agreementTypes.TargetEntry): boolean {
    return this.#clock.now() - (this.#removedAt.get(decisions.agreementTypes.targetRunAtAddress(entry)) ?? -Infinity) <= REMOVAL_MEMORY_MS
  }

  /** Removes those targets that have not registered again by the end of the grace period, that is, whose last entry is not newer than the list. */
  async #removeAfterGrace (ids: string[], revision: number): Promise<void> {
    const { epoch } = this
    await this.#clock.sleep(EXPIRED_ENTRY_GRACE_MS)
    if (this.epoch !== epoch) return
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
