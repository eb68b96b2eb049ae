/**
 * Largest fleet in which all routers do the same: each draws tokens, watches the store and tells all others everything.
 * In a larger one a few of them do it for the rest.
 */
export const SMALL_FLEET = 12
