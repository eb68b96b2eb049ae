import type * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import type * as runtime from '@acaciaweir/runtime'
import type * as pages from './token-pages.js'

/** Another gateway that may have tokens of an account. */
export interface TokenHolder {
  peerAddress: string
  /** Free tokens as last heard; unknown in a large fleet. */
  freeTokens: number | undefined
  /** Tokens a second that it spends of the account, as last heard; unknown in a large fleet. */
  spending: number | undefined
}

/** How a gateway comes to an account's tokens. */
export const TokenRole = {
  /** Small fleet: draws from the page, and shares with all others. */
  peer: 'peer',
  /** Large fleet: draws from the page, also for the borrowers. */
  holder: 'holder',
  /** Large fleet: asks the holders. */
  borrower: 'borrower'
} as const
export type TokenRole = typeof TokenRole[keyof typeof TokenRole]

/** Where an account's tokens are. */
export interface AccountHolders {
  role: TokenRole
  /** Other gateways that draw from the page, the first to ask first. */
  others: TokenHolder[]
}

/** What keeping tokens needs. */
export interface TokenTaskOptions {
  /** Peer address of this gateway. */
  selfAddress: string
  pages: pages.TokenPages
  policy: decisions.tokenPool.PoolPolicy
  clock: decisions.clock.Clock
  random: decisions.random.RandomSource
  logger: runtime.logging.Logger
  totals: () => pages.PrepaidTotals | undefined
  /** Live gateways, this one included. */
  gateways: () => number
  /** Who draws the account's tokens from the page. */
  holders: (account: string) => AccountHolders
  /** Asks another gateway for tokens. Undefined where it does not answer. */
  transfer: (peerAddress: string, account: string, tokens: number) => Promise<routers.gatewayMessages.TokenTransferReply | undefined>
  /** Gives tokens to another gateway. */
  returnTokens: (peerAddress: string, account: string, tokens: number) => Promise<void>
}
