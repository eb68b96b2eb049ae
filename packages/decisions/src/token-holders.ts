import * as hashing from './hashing.js'

/** Largest fleet in which every router draws from the page for itself. */
const SMALL_FLEET = 12

/** Routers that draw an account's tokens from the page for a larger fleet. */
const HOLDERS_AN_ACCOUNT = 6

/** Routers that draw an account's tokens. */
export interface TokenHolders {
  /** In the order in which the given router asks them; the orders spread the askers over the holders. */
  names: string[]
  /** True where every router holds tokens for itself. */
  everyone: boolean
}

/**
 * Chooses who draws an account's tokens from the page. Answers large fleets: an even split over all routers would leave
 * each with less than one large request, and every router would write the page.
 */
export function tokenHolders (account: string, self: string, routers: readonly string[]): TokenHolders {
  if (routers.length <= SMALL_FLEET) return { names: [...routers], everyone: true }
  const names = hashing.rendezvousOrder(routers, account, (router) => router).slice(0, HOLDERS_AN_ACCOUNT)
  const first = hashing.hashText(self) % names.length
  return { names: [...names.slice(first), ...names.slice(0, first)], everyone: false }
}
