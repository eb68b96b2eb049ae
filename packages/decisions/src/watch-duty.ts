import * as fleetSize from './fleet-size.js'
import * as hashing from './hashing.js'

/** A router that may watch the store on behalf of others. */
export interface StoreWatcher {
  name: string
  availabilityZone: string
  /** Time since the store last answered this router, in milliseconds. */
  storeSilenceMs: number
}

/** Routers in each availability zone of a large fleet that watch the store. */
const WATCHERS_PER_ZONE = 3

/** Time without an answer from the store after which a watcher is considered cut off from it. */
const STORE_UNREACHABLE_AFTER_MS = 4500

/**
 * Returns true if a router has to watch the store itself. In a large fleet, the calls to the store would grow with the
 * number of routers, so only a few in each zone watch it, and the others receive changes from them. A watcher that
 * cannot reach the store is replaced by the next router in rendezvous order.
 */
export function hasWatchDuty (self: StoreWatcher, others: readonly StoreWatcher[]): boolean {
  if (others.length < fleetSize.MAXIMUM_SMALL_FLEET_SIZE) return true
  const connected = others.filter((other) => other.availabilityZone === self.availabilityZone && other.storeSilenceMs <= STORE_UNREACHABLE_AFTER_MS)
  const order = hashing.rendezvousOrder([self, ...connected], self.availabilityZone, (watcher) => watcher.name)
  return order.indexOf(self) < WATCHERS_PER_ZONE
}
