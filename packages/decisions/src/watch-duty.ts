import * as fleetSize from './fleet-size.js'
import * as hashing from './hashing.js'

/** A router that may watch the store for others. */
export interface Watcher {
  name: string
  availabilityZone: string
  /** Time since the store last answered it, in milliseconds. */
  storeSilenceMs: number
}

/** Routers of each availability zone that watch the store for the others of a larger fleet. */
const WATCHERS_A_ZONE = 3

/** Silence of the store after which a watcher is taken to be out of its reach, in milliseconds. */
const OUT_OF_REACH_MS = 4500

/**
 * Whether a router has to watch the store itself. Answers large fleets, whose calls to the store would grow with their
 * size: a few routers of each zone watch, and the others hear of changes from them. A watcher that the store does not
 * answer is replaced by the next one.
 */
export function hasWatchDuty (self: Watcher, others: readonly Watcher[]): boolean {
  if (others.length < fleetSize.SMALL_FLEET) return true
  const reached = others.filter((other) => other.availabilityZone === self.availabilityZone && other.storeSilenceMs <= OUT_OF_REACH_MS)
  const order = hashing.rendezvousOrder([self, ...reached], self.availabilityZone, (watcher) => watcher.name)
  return order.indexOf(self) < WATCHERS_A_ZONE
}
