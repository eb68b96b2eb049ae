import * as hashing from './hashing.js'
import * as storeReach from './store-reach.js'

/** Routers of a large fleet that draw tokens from the page. Conflicts between their updates stay rare however large the fleet is. */
export const MAXIMUM_DRAWING_ROUTERS = 12

/** Rendezvous-hashing key that orders routers of equal processor share. */
const TIE_BREAK_KEY = 'token-holders'

/** How a router obtains an account's tokens. */
export const TokenRole = {
  /** Small fleet: draws from the token page and exchanges tokens with all other routers. */
  peer: 'peer',
  /** Large fleet: draws from the token page, for itself and for the routers that ask it. */
  holder: 'holder',
  /** Large fleet: asks the holder, and draws from the token page if the holder does not answer. */
  standby: 'standby',
  /** Large fleet: asks the holder, then the standby. */
  borrower: 'borrower'
} as const
export type TokenRole = typeof TokenRole[keyof typeof TokenRole]

/** Rendezvous-hashing key of the token page. */
const PAGE_KEY = 'token-page'

/** A router that can be selected to draw tokens. */
export interface HolderCandidate {
  name: string
  availabilityZone: string
  /** Processor time available to the router, as a fraction of one core. */
  processorShare: number
}

/** A router's role for an account in a large fleet. */
export interface TokenAssignment {
  role: TokenRole
  /** Names of the routers to ask for tokens, in this order. */
  othersToAsk: string[]
}

/**
 * Assigns the one router that holds an account's tokens ahead of demand, and its standby. Tokens split over several holders would leave
 * each with less than one large request needs, and each would write the page.
 */
export function assignTokenRole (account: string, self: string, drawingRouters: readonly string[]): TokenAssignment {
  const [holder, standby] = hashing.rendezvousOrder(drawingRouters, account, (name) => name)
  const role = self === holder ? TokenRole.holder : self === standby ? TokenRole.standby : TokenRole.borrower
  return { role, othersToAsk: [holder, standby].filter((name) => name !== undefined && name !== self) }
}

/**
 * Selects the routers of a large fleet that draw tokens from the page: the one with the most processor time in each availability zone, then
 * the second of each zone, and so on. The other routers ask them for the tokens of most of their requests.
 */
export function selectDrawingRouters (routers: readonly HolderCandidate[]): string[] {
  const countByZone = new Map<string, number>()
  const byProcessorShare = hashing.rendezvousOrder(routers, TIE_BREAK_KEY, (router) => router.name).sort((left, right) => right.processorShare - left.processorShare)
  const ranked = byProcessorShare.map(({ name, availabilityZone }) => {
    const rank = countByZone.get(availabilityZone) ?? 0
    countByZone.set(availabilityZone, rank + 1)
    return { name, rank }
  })
  return ranked.sort((left, right) => left.rank - right.rank).slice(0, MAXIMUM_DRAWING_ROUTERS).map(({ name }) => name)
}

/** A router that can be asked to write the page. */
export interface PageWriterCandidate {
  name: string
  reach: storeReach.ReachState
}

const { ReachState } = storeReach

/** Order in which routers are asked to write the page while some are cut off from the store, by what they tell of it. */
const PREFERENCE: Record<storeReach.ReachState, number> = { [ReachState.reached]: 0, [ReachState.regained]: 1, [ReachState.unknown]: 2, [ReachState.cutOff]: 3 }

/**
 * Orders the routers in which to ask them to write the page on behalf of all that draw. A writer that alternates with others knows an outdated
 * revision at nearly every write; a single one knows the newest, and covers the draws of several holders with one write. The usual one comes first unless it is cut off from the store, or it is not
 * known to reach it while others are cut off.
 */
export function orderPageWriters (routers: readonly PageWriterCandidate[], drawingRouters: readonly string[]): string[] {
  const drawing = new Set(drawingRouters)
  const isStoreInDoubt = routers.some(({ reach }) => reach === ReachState.cutOff)
  const rank = ({ name, reach }: PageWriterCandidate): number => (isStoreInDoubt ? 2 * PREFERENCE[reach] : 0) + (drawing.has(name) ? 0 : 1)
  return hashing.rendezvousOrder(routers, PAGE_KEY, ({ name }) => name).sort((left, right) => rank(left) - rank(right)).map(({ name }) => name)
}
