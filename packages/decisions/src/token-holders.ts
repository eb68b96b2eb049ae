import * as fleetSize from './fleet-size.js'
import * as hashing from './hashing.js'

/** Routers of a large fleet that draw tokens from the page. With this many writers, conflicting page updates are rare. */
const MAXIMUM_DRAWING_ROUTERS = 24

/** Drawing routers that hold the tokens of one account. */
const HOLDERS_PER_ACCOUNT = 6

/** Rendezvous-hashing key that orders routers of equal processor share. */
const TIE_BREAK_KEY = 'token-holders'

/** A router that can be selected to draw tokens. */
export interface HolderCandidate {
  name: string
  availabilityZone: string
  /** Processor time available to the router, as a fraction of one core. */
  processorShare: number
}

/** Routers that draw the tokens of an account. */
export interface TokenHolders {
  /** Names in the order in which the given router asks them. The order differs between routers, to spread the load over the holders. */
  names: string[]
  /** The fleet is small, so every router draws tokens for itself. */
  includesAllRouters: boolean
}

/**
 * Selects the routers that draw an account's tokens from the page. In a small fleet these are all routers.
 * In a large fleet, an even split over all routers would leave each with less than one large request needs, and every
 * router would write the page. So only a few draw: those with the most processor time in every availability zone, because
 * the other routers ask them for tokens for most of their requests.
 */
export function selectTokenHolders (account: string, self: string, routers: readonly HolderCandidate[]): TokenHolders {
  if (routers.length <= fleetSize.MAXIMUM_SMALL_FLEET_SIZE) return { names: routers.map((router) => router.name), includesAllRouters: true }
  const names = hashing.rendezvousOrder(selectDrawingRouters(routers), account, (name) => name).slice(0, HOLDERS_PER_ACCOUNT)
  const offset = hashing.hashText(self) % names.length
  return { names: [...names.slice(offset), ...names.slice(0, offset)], includesAllRouters: false }
}

/** Selects the router with the most processor time in each zone, then the second of each zone, and so on. */
function selectDrawingRouters (routers: readonly HolderCandidate[]): string[] {
  const countByZone = new Map<string, number>()
  const byProcessorShare = hashing.rendezvousOrder(routers, TIE_BREAK_KEY, (router) => router.name).sort((left, right) => right.processorShare - left.processorShare)
  const ranked = byProcessorShare.map(({ name, availabilityZone }) => {
    const rank = countByZone.get(availabilityZone) ?? 0
    countByZone.set(availabilityZone, rank + 1)
    return { name, rank }
  })
  return ranked.sort((left, right) => left.rank - right.rank).slice(0, MAXIMUM_DRAWING_ROUTERS).map(({ name }) => name)
}
