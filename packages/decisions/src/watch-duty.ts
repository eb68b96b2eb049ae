import * as hashing from './hashing.js'

/** A router that may watch the store on behalf of others. */
export interface StoreWatcher {
  name: string
  availabilityZone: string
}

/**
 * Routers of a large fleet that watch the store, whatever its size. Their zones differ as far as possible. A store that turns away a third of
 * the fleet seldom turns away all of them; keys are withdrawn in time only if one still reads it.
 */
export const WATCHERS = 6

/** Age of what a router knows of the store at which the first router besides the watchers takes their duty over, in milliseconds. */
const TAKE_OVER_AGE_MS = 3000

/** Addition to that for each further router, in milliseconds. In an outage of the store only a few try to take over. */
const TAKE_OVER_DELAY_PER_ROUTER_MS = 600

/** Time for which a router that took over keeps the duty, in milliseconds. The watchers may be cut off for as long. */
const TAKE_OVER_TIME_MS = 5000

/** Rendezvous-hashing key that orders the zones, and the routers of each. */
const DUTY_KEY = 'store-watch'

/**
 * Returns the position of a router in the order in which the routers of a fleet watch the store, from 0: the first of each availability zone,
 * then the second of each, and so on.
 */
export function watchRank (self: StoreWatcher, others: readonly StoreWatcher[]): number {
  const zoneOrder = new Map(hashing.rendezvousOrder([...new Set([self, ...others].map((router) => router.availabilityZone))], DUTY_KEY, (zone) => zone).map((zone, index) => [zone, index]))
  const countByZone = new Map<string, number>()
  const ranked = hashing.rendezvousOrder([self, ...others], DUTY_KEY, (router) => router.name).map((router) => {
    const rankInZone = countByZone.get(router.availabilityZone) ?? 0
    countByZone.set(router.availabilityZone, rankInZone + 1)
    return { router, rankInZone, zone: zoneOrder.get(router.availabilityZone) ?? 0 }
  })
  ranked.sort((left, right) => left.rankInZone - right.rankInZone || left.zone - right.zone)
  return ranked.findIndex(({ router }) => router === self)
}

/**
 * Decides whether a router of a large fleet watches the store. Calls to the store would grow with the fleet if all did, so a few watch, and the
 * others receive the changes from them, together with the age of what is known. A router whose knowledge has become old watches too: the
 * watchers may all have ended or be cut off.
 */
export class WatchDuty {
  #takenOverAt = -Infinity

  /** Returns true if the router at this position watches. `knowledgeAgeMs` is the time since what it knows was current. */
  isDue (rank: number, knowledgeAgeMs: number, nowMs: number): boolean {
    if (rank < WATCHERS) return true
    if (knowledgeAgeMs > TAKE_OVER_AGE_MS + (rank - WATCHERS) * TAKE_OVER_DELAY_PER_ROUTER_MS) this.#takenOverAt = nowMs
    return nowMs - this.#takenOverAt < TAKE_OVER_TIME_MS
  }
}
