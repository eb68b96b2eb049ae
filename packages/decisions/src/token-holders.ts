import * as fleetSize from './fleet-size.js'
import * as hashing from './hashing.js'

/** Routers of a larger fleet that draw tokens from the page. Writes of as many seldom meet on the page. */
const DRAWING_ROUTERS = 24

/** Those among them that draw an account's tokens. */
const HOLDERS_AN_ACCOUNT = 6

/** Key under which routers are ordered. */
const ORDER_KEY = 'token-holders'

/** A router that may draw tokens. */
export interface HolderCandidate {
  name: string
  availabilityZone: string
  /** Processor time that it may use, as a share of one core. */
  processorShare: number
}

/** Routers that draw tokens. */
export interface TokenHolders {
  /** In the order in which the given router asks them; the orders spread the askers over the holders. */
  names: string[]
  /** True where every router holds tokens for itself. */
  everyone: boolean
}

/**
 * Chooses who draws an account's tokens from the page. Answers large fleets: an even split over all routers would leave
 * each with less than one large request, and every router would write the page. The strongest routers of all
 * availability zones draw, as most requests of the others ask them.
 */
export function tokenHolders (account: string, self: string, routers: readonly HolderCandidate[]): TokenHolders {
  if (routers.length <= fleetSize.SMALL_FLEET) return { names: routers.map((router) => router.name), everyone: true }
  const names = hashing.rendezvousOrder(drawingRouters(routers), account, (name) => name).slice(0, HOLDERS_AN_ACCOUNT)
  const first = hashing.hashText(self) % names.length
  return { names: [...names.slice(first), ...names.slice(0, first)], everyone: false }
}

/** The strongest router of each zone, then the second of each, and so on. */
function drawingRouters (routers: readonly HolderCandidate[]): string[] {
  const seen = new Map<string, number>()
  const strongestFirst = hashing.rendezvousOrder(routers, ORDER_KEY, (router) => router.name).sort((left, right) => right.processorShare - left.processorShare)
  const ranked = strongestFirst.map(({ name, availabilityZone }) => {
    const rank = seen.get(availabilityZone) ?? 0
    seen.set(availabilityZone, rank + 1)
    return { name, rank }
  })
  return ranked.sort((left, right) => left.rank - right.rank).slice(0, DRAWING_ROUTERS).map(({ name }) => name)
}
