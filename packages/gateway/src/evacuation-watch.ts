import type * as decisions from '@acaciaweir/decisions'
import type * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import * as watches from './object-watch.js'

/** Time after which a zone is used again whose entry a store that came back from a backup lacks, in milliseconds. Operators write it again within it. */
const DOUBT_MS = 5000

/** Origin of an evacuation, as logged. */
export const EvacuationSource = { store: 'store', gateway: 'gateway' } as const
export type EvacuationSource = typeof EvacuationSource[keyof typeof EvacuationSource]

/** Dependencies and settings of the watch. */
export interface EvacuationWatchOptions extends Omit<watches.ObjectWatchOptions, 'kind'> {
  evacuations: decisions.zoneEvacuations.ZoneEvacuations
  /** False where operators don't evacuate zones; the store is not called then. */
  isEnabled: boolean
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
  #isStopped = false

  constructor (options: EvacuationWatchOptions) {
    super({ ...options, kind: adapter.objectKinds.ObjectKind.evacuations })
    this.#evacuations = options.evacuations
    this.#clock = options.clock
    this.#announce = options.announce
    this.isEnabled = options.isEnabled
  }

  /** Version of the store up to which this gateway knows the evacuations, from the store or from another gateway. */
  get version (): decisions.storeVersion.StoreVersion {
    return this.#evacuations.version
  }

  /** Returns the evacuated zones to pass on; where they are too many, first those of `knownZones`. */
  report (knownZones: ReadonlySet<string>): string[] {
    return this.#evacuations.report((zone) => knownZones.has(zone))
  }

  override start (): void {
    if (this.isEnabled) super.start()
  }

  override stop (): void {
    this.#isStopped = true
    super.stop()
  }

  /** Time since the last successful store call, in milliseconds; 0 where the store is not called. */
  override silenceMs (): number {
    return this.isEnabled ? super.silenceMs() : 0
  }

  /** Applies what another gateway knows, if that is newer. */
  applyFromPeer (zones: readonly string[], version: decisions.storeVersion.StoreVersion): void {
    this.#apply(version.epoch, () => this.#evacuations.replace(zones, version), EvacuationSource.gateway)
  }

  protected override applyList (objects: platform.objectStore.StoreObject[], revision: number): void {
    const version = { epoch: this.epoch, revision }
    this.#apply(version.epoch, () => this.#evacuations.replace(objects.map((object) => object.name), version), EvacuationSource.store)
  }

  protected override applyEvents (events: platform.objectStore.ObjectEvent[], revision: number): void {
    const version = { epoch: this.epoch, revision }
    const changes = events.map(({ object, removed }) => ({ zone: object.name, removed }))
    this.#apply(version.epoch, () => this.#evacuations.applyChanges(changes, version), EvacuationSource.store)
  }

  #apply (epoch: number, apply: () => decisions.zoneEvacuations.EvacuationChange, source: EvacuationSource): void {
    const previousEpoch = this.#evacuations.version.epoch
    const change = apply()
    this.#report(change, source)
    if (previousEpoch > 0 && this.#evacuations.version.epoch > previousEpoch) void this.#endDoubtLater(epoch)
    if (source === EvacuationSource.store && change.evacuated.length + change.restored.length > 0) this.#announce()
  }

  async #endDoubtLater (epoch: number): Promise<void> {
    await this.#clock.sleep(DOUBT_MS)
    if (!this.#isStopped) this.#report(this.#evacuations.endDoubt(epoch), EvacuationSource.store)
  }

  #report ({ evacuated, restored }: decisions.zoneEvacuations.EvacuationChange, source: EvacuationSource): void {
    const { epoch, revision } = this.#evacuations.version
    for (const zone of evacuated) this.logger.warn({ event: 'zone-evacuated', zone, source, epoch, revision })
    for (const zone of restored) this.logger.info({ event: 'zone-restored', zone, source, epoch, revision })
  }
}
