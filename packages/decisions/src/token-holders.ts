import * as hashing from './hashing.js'

/** Largest fleet in which every router draws from the page for itself. */
const SMALL_FLEET = 12

/** Routers that draw tokens from the page for a larger fleet. Writes of as many seldom meet on the page. */
const HOLDERS = 8

/** Key under which routers are ordered as holders. */
const HOLDERS_KEY = 'token-holders'

/** A router that may draw tokens. */
export interface HolderCandidate {
  name: string
  availabilityZone: string
}

/** Routers that draw tokens. */
export interface TokenHolders {
  /** In the order in which the given router asks them; the orders spread the askers over the holders. */
  names: string[]
  /** True where every router holds tokens for itself. */
  everyone: boolean
}

/**
 * Chooses who draws tokens from the page, from all availability zones in turn. Answers large fleets: an even split over
 * all routers would leave each with less than one large request, and every router would write the page.
 */
export function tokenHolders (self: string, routers: readonly HolderCandidate[]): TokenHolders {
  if (routers.length <= SMALL_FLEET) return { names: routers.map((router) => router.name), everyone: true }
  const names = zonesInTurn(hashing.rendezvousOrder(routers, HOLDERS_KEY, (router) => router.name)).slice(0, HOLDERS)
  const first = hashing.hashText(self) % names.length
  return { names: [...names.slice(first), ...names.slice(0, first)], everyone: false }
}

/** The first router of each zone, then the second of each, and so on. */
function zonesInTurn (routers: readonly HolderCandidate[]): string[] {
  const seen = new Map<string, number>()
  const ranked = routers.map(({ name, availabilityZone }) => {
    const round = seen.get(availabilityZone) ?? 0
    seen.set(availabilityZone, round + 1)
    return { name, round }
  })
  return ranked.sort((left, right) => left.round - right.round).map(({ name }) => name)
}
