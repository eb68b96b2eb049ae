import type * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import type * as runtime from '@acaciaweir/runtime'
import type * as pageAccesses from './token-page-access.js'
import type * as pageClients from './token-page-client.js'

/** Another gateway that may hold tokens of a client account. */
export interface TokenHolder {
  peerAddress: string
  /** Free tokens by its last report. Undefined in a large fleet, where heartbeats don't carry them. */
  freeTokens: number | undefined
  /** Tokens a second that it spends of the account, by its last heartbeat. Undefined in a large fleet. */
  spending: number | undefined
  /** True if it told in a large fleet that it reaches the store. */
  reachesStore?: boolean
}

/** This gateway's role for an account, and the other gateways that hold the account's tokens. */
export interface AccountHolders {
  role: decisions.tokenHolders.TokenRole
  /** Other gateways that draw from the token page, in the order in which to ask them: in a large fleet the holder, then the standby. */
  otherHolders: TokenHolder[]
}

/** Dependencies of the token allocator. */
export interface TokenAllocatorOptions {
  /** Peer address of this gateway. */
  selfAddress: string
  page: pageAccesses.TokenPageAccess
  policy: decisions.tokenPool.PoolPolicy
  clock: decisions.clock.Clock
  random: decisions.random.RandomSource
  logger: runtime.logging.Logger
  /** Prepaid totals of the agreement in force. Undefined if no agreement with client accounts is in force. */
  prepaidTotals: () => pageClients.PrepaidTotals | undefined
  /** Returns false while this gateway has not heard most gateways of a large fleet, so that it can't tell which one holds an account's tokens. */
  isFleetKnown: () => boolean
  /** Returns the gateways that draw the account's tokens from the token page. */
  holders: (account: string) => AccountHolders
  /** Returns false if gateways are cut off from the store, and none is known to reach it. */
  isStoreReachable: () => boolean
  /** Requests tokens from another gateway. Resolves to undefined if it doesn't answer in time. */
  requestTransfer: (peerAddress: string, account: string, tokens: number) => Promise<routers.gatewayMessages.TokenTransferReply | undefined>
  /** Returns true if tokens may still come from a transfer that took too long. */
  hasLateTransfer: (account: string) => boolean
  /** Sends tokens that have left the pool to another gateway. */
  returnTokens: (peerAddress: string, account: string, tokens: number) => Promise<void>
}

/** How long a request waits for tokens beyond the time limit for acquiring them. */
export interface Patience {
  /** Longest time for which it waits for tokens that are under way, in milliseconds. */
  underWayMs: number
  /** Returns true if nobody waits for the request any more. */
  isGone: () => boolean
}
