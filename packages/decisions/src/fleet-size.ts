/**
 * Largest fleet in which every router draws tokens, watches the store and exchanges its full state with all others.
 * In a larger fleet, a few routers do so on behalf of the rest.
 */
export const MAXIMUM_SMALL_FLEET_SIZE = 12
