import * as storeVersion from './store-version.js'

/** Zones whose evacuation is passed on to other routers. More of them, or longer names, are more likely mistakes than zones. */
const MAXIMUM_REPORTED_ZONES = 32
const MAXIMUM_REPORTED_NAME_LENGTH = 100

/** Zones that are evacuated from now on, and those that are no longer. */
export interface EvacuationChange {
  evacuated: readonly string[]
  restored: readonly string[]
}

/** An operator's entry for a zone that was written or removed. */
export interface EntryChange {
  zone: string
  removed: boolean
}

const NO_CHANGE: EvacuationChange = { evacuated: [], restored: [] }
const NO_ZONES: ReadonlySet<string> = new Set()

/**
 * Zones that an operator has evacuated: their targets get nothing new. What is known is as of a version of the store; newer knowledge
 * replaces it, older never does. A store that comes back from a backup may lack entries that are about to be written again. Zones that its
 * lists lack therefore stay evacuated until `endDoubt`.
 */
export class ZoneEvacuations {
  #version = storeVersion.NO_VERSION
  #zones = NO_ZONES
  /** Zones that were evacuated in an earlier epoch of the store and are not known to be in this one. */
  #doubtfulZones = NO_ZONES

  /** Version of the store up to which the evacuations are known. */
  get version (): storeVersion.StoreVersion {
    return this.#version
  }

  get isEmpty (): boolean {
    return this.#zones.size === 0 && this.#doubtfulZones.size === 0
  }

  /** Evacuated zones, also those in doubt. */
  get zones (): string[] {
    return [...this.#zones, ...this.#doubtfulZones]
  }

  isEvacuated (zone: string): boolean {
    return this.#zones.has(zone) || this.#doubtfulZones.has(zone)
  }

  /** Returns the evacuated zones to pass on, up to a limit, first those that are known to be zones. Zones in doubt are not passed on. */
  report (isKnownZone: (zone: string) => boolean): string[] {
    const zones = [...this.#zones].filter((zone) => zone.length <= MAXIMUM_REPORTED_NAME_LENGTH)
    if (zones.length <= MAXIMUM_REPORTED_ZONES) return zones
    return [...zones.filter(isKnownZone), ...zones.filter((zone) => !isKnownZone(zone))].slice(0, MAXIMUM_REPORTED_ZONES)
  }

  /** Applies all entries as of a version. Those of the version that is known are added, as a report may lack some. */
  replace (zones: readonly string[], version: storeVersion.StoreVersion): EvacuationChange {
    if (storeVersion.isNewer(version, this.#version)) return this.#advance(new Set(zones), version, NO_ZONES)
    const isSame = !storeVersion.isNewer(this.#version, version)
    if (!isSame || zones.every((zone) => this.#zones.has(zone))) return NO_CHANGE
    return this.#advance(new Set([...this.#zones, ...zones]), version, NO_ZONES)
  }

  /** Applies changes of entries, in their order, that lead to a version. */
  applyChanges (changes: readonly EntryChange[], version: storeVersion.StoreVersion): EvacuationChange {
    if (!storeVersion.isNewer(version, this.#version)) return NO_CHANGE
    const zones = new Set(this.#zones)
    for (const { zone, removed } of changes) {
      if (removed) zones.delete(zone)
      else zones.add(zone)
    }
    return this.#advance(zones, version, new Set(changes.map(({ zone }) => zone)))
  }

  /** Ends the doubt about zones that were evacuated before an epoch of the store, if that is still the newest one known. */
  endDoubt (epoch: number): EvacuationChange {
    return this.#version.epoch === epoch ? this.#change(this.#zones, NO_ZONES) : NO_CHANGE
  }

  #advance (zones: ReadonlySet<string>, version: storeVersion.StoreVersion, decidedZones: ReadonlySet<string>): EvacuationChange {
    const isRestored = this.#version.epoch > 0 && version.epoch > this.#version.epoch
    const doubtful = isRestored ? this.zones : [...this.#doubtfulZones]
    this.#version = version
    return this.#change(zones, new Set(doubtful.filter((zone) => !zones.has(zone) && !decidedZones.has(zone))))
  }

  #change (zones: ReadonlySet<string>, doubtfulZones: ReadonlySet<string>): EvacuationChange {
    const before = new Set(this.zones)
    this.#zones = zones
    this.#doubtfulZones = doubtfulZones
    return { evacuated: this.zones.filter((zone) => !before.has(zone)), restored: [...before].filter((zone) => !this.isEvacuated(zone)) }
  }
}
