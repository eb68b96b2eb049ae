import * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import * as watches from './object-watch.js'

/** Time after which a zone is used again whose entry a store that came back from a backup lacks, in milliseconds. Operators write it again within it. */
const DOUBT_MS = 5000

/**
 * Time for which the store holds a watch open without changes, in milliseconds: as long as the bound allows, since zones are seldom evacuated and
 * calls cost. The reserve is for noticing that the connection is silent or the store has another history, for a list, and for telling the others.
 */
const MAXIMUM_WAIT_MS = 4000
const MINIMUM_WAIT_MS = 500
const RESERVE_MS = 1000

/** Time after its start at which a gateway lists the entries itself if no other gateway has told it of them, in milliseconds. */
const NEWS_TIME_MS = 3000

/** Origin of an evacuation, as logged. */
export const EvacuationSource = { store: 'store', gateway: 'gateway' } as const
export type EvacuationSource = typeof EvacuationSource[keyof typeof EvacuationSource]

/** Dependencies and settings of the watch. */
export interface EvacuationWatchOptions extends Omit<watches.ObjectWatchOptions, 'kind'> {
  evacuations: decisions.zoneEvacuations.ZoneEvacuations
  /** Time within which an evacuation has to take effect, in milliseconds; undefined where operators don't evacuate zones, and the store is not called. */
  evacuateMs: number | undefined
  /** Sends a heartbeat with a change to the other gateways. */
  announce: () => void
}

/** Watches the operators' entries for evacuated zones. The entry itself evacuates a zone, whatever it holds. */
export class EvacuationWatch extends watches.ObjectWatch {
  readonly #evacuations: decisions.zoneEvacuations.ZoneEvacuations
  readonly #clock: decisions.clock.Clock
  readonly #announce: () => void
  /** False where operators don't evacuate zones. */
  readonly isEnabled: boolean
  readonly #createdAt: number
  readonly #waitMs: number
  #isStopped = false

  constructor (options: EvacuationWatchOptions) {
    const waitMs = Math.max(MINIMUM_WAIT_MS, Math.min(MAXIMUM_WAIT_MS, (options.evacuateMs ?? Infinity) - RESERVE_MS))
    super({ ...options, waitMs, kind: adapter.objectKinds.ObjectKind.evacuations })
    this.#waitMs = waitMs
    this.#evacuations = options.evacuations
    this.#clock = options.clock
    this.#createdAt = options.clock.now()
    this.#announce = options.announce
    this.isEnabled = options.evacuateMs !== undefined
  }

  /** Version of the store up to which this gateway knows the evacuations, from the store or from another gateway. */
  get version (): decisions.storeVersion.StoreVersion {
    return this.#evacuations.version
  }

  /** Returns the evacuated zones to pass on; where they are too many, first those that are known to be zones. */
  report (isKnownZone: (zone: string) => boolean): string[] {
    return this.#evacuations.report(isKnownZone)
  }

  override start (): void {
    if (this.isEnabled) super.start()
  }

  override stop (): void {
    this.#isStopped = true
    super.stop()
  }

  /**
   * Time since the last successful store call, in milliseconds, less the time by which its watches last longer than those of other objects; 0
   * where the store is not called.
   */
  override silenceMs (): number {
    return this.isEnabled ? Math.max(0, super.silenceMs() - Math.max(0, this.#waitMs - watches.DEFAULT_WAIT_MS)) : 0
  }

  /** Applies what another gateway knows, if that is newer. */
  applyFromPeer (zones: readonly string[], version: decisions.storeVersion.StoreVersion): void {
    this.#apply(() => this.#evacuations.replace(zones, version), EvacuationSource.gateway)
  }

  protected override isListNeeded (): boolean {
    const isKnown = decisions.storeVersion.isNewer(this.version, decisions.storeVersion.NO_VERSION)
    return !isKnown && this.#clock.now() - this.#createdAt > NEWS_TIME_MS
  }

  protected override applyList (objects: platform.objectStore.StoreObject[], revision: number): void {
    const version = { epoch: this.epoch, revision }
    this.#apply(() => this.#evacuations.replace(objects.map((object) => object.name), version), EvacuationSource.store)
  }

  protected override applyEvents (events: platform.objectStore.ObjectEvent[], revision: number): void {
    const version = { epoch: this.epoch, revision }
    const changes = events.map(({ object, removed }) => ({ zone: object.name, removed }))
    this.#apply(() => this.#evacuations.applyChanges(changes, version), EvacuationSource.store)
  }

  #apply (apply: () => decisions.zoneEvacuations.EvacuationChange, source: EvacuationSource): void {
    const previousEpoch = this.version.epoch
    const change = apply()
    this.#report(change, source)
    if (previousEpoch > 0 && this.version.epoch > previousEpoch) void this.#endDoubtLater(this.version.epoch)
    if (source === EvacuationSource.store && change.evacuated.length + change.restored.length > 0) this.#announce()
  }

  async #endDoubtLater (epoch: number): Promise<void> {
    await this.#clock.sleep(DOUBT_MS)
    if (!this.#isStopped) this.#report(this.#evacuations.endDoubt(epoch), EvacuationSource.store)
  }

  #report ({ evacuated, restored }: decisions.zoneEvacuations.EvacuationChange, source: EvacuationSource): void {
    const { epoch, revision } = this.version
    for (const zone of evacuated) this.logger.warn({ event: 'zone-evacuated', zone, source, epoch, revision })
    for (const zone of restored) this.logger.info({ event: 'zone-restored', zone, source, epoch, revision })
  }
}
