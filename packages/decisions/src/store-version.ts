/**
 * A state of the store. Revisions grow within an epoch; the epoch grows when the store comes back from a backup, which sets the
 * revisions back.
 */
export interface StoreVersion {
  /** 0 if nothing is known. */
  epoch: number
  revision: number
}

/** Precedes all states of the store. */
export const NO_VERSION: StoreVersion = { epoch: 0, revision: 0 }

/** Returns true if the first version is newer than the second. */
export function isNewer (version: StoreVersion, other: StoreVersion): boolean {
  return version.epoch > other.epoch || (version.epoch === other.epoch && version.revision > other.revision)
}
