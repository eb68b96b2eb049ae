/**
 * Largest fleet in which every router draws tokens, watches the store and exchanges its full state with all others.
 * In a larger fleet, a few routers do so on behalf of the rest.
 */
export const MAXIMUM_SMALL_FLEET_SIZE = 12

/** Time after its start in which a router learns which others there are, in milliseconds. */
const DISCOVERY_TIME_MS = 1000

/** Time after its start at which a router works with the part of the fleet that it has heard, in milliseconds. The rest may not be running. */
const MAXIMUM_DISCOVERY_TIME_MS = 5000

/** Share of the known addresses that have to answer before the fleet counts as known. */
const HEARD_SHARE = 0.8

/** What a router knows of the fleet some time after its start. */
export interface Discovery {
  uptimeMs: number
  /** Addresses at which other routers have been heard, or may still be. */
  addresses: number
  /** Other routers that have been heard. */
  heard: number
  /** Other routers that are live. */
  live: number
}

/** Returns true if the fleet is large. Soon after a start, the routers that have not been heard yet count too. */
export function isLargeFleet ({ uptimeMs, addresses, live }: Discovery): boolean {
  return 1 + (uptimeMs < MAXIMUM_DISCOVERY_TIME_MS ? Math.max(live, addresses) : live) > MAXIMUM_SMALL_FLEET_SIZE
}

/**
 * Returns true if a router of a large fleet has heard most of it. One that has heard few others would take itself for the first of every order,
 * and act for all of them.
 */
export function isFleetKnown ({ uptimeMs, addresses, heard }: Discovery): boolean {
  if (uptimeMs >= MAXIMUM_DISCOVERY_TIME_MS) return true
  return uptimeMs >= DISCOVERY_TIME_MS && heard >= addresses * HEARD_SHARE
}
