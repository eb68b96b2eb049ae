import type * as decisions from '@acaciaweir/decisions'

/** What two routers tell each other at each heartbeat. */
export interface HeartbeatMessage extends decisions.membership.Member {
  leavingTargets: string[]
  /** Incarnations that have missed heartbeats of the sender. */
  suspects: string[]
}

/** Copies of log records, with the highest sequence that the owner's journal contains. */
export interface HoldRequest {
  witness: string
  incarnation: string
  records: decisions.journalTypes.LogRecord[]
  journaled: number
}

/** Whether the witness holds the records, or has sealed the owner. */
export interface HoldReply {
  sealed: boolean
}

/** Asks a witness to seal. The witness is named, because its address may have passed to an incarnation without its copies. */
export interface SealRequest {
  incarnation: string
  witness: string
}

/** Records that a witness holds. */
export interface RecordsReply {
  records: decisions.journalTypes.LogRecord[]
}

/** Asks the home of a key about a request. */
export interface LookUpRequest {
  account: string
  key: string
}

/** Whether the request has run. */
export interface LookUpReply {
  state: decisions.journalTypes.RunState
}

/** Asks for free allotment. Unit: tokens. */
export interface TransferRequest {
  transferId: string
  budget: string
  account: string
  tokens: number
}

/** What the asked router has returned to the ledger page, and what it keeps. Unit: tokens. */
export interface TransferReply {
  tokens: number
  /** Held by requests in progress, for all client accounts of the budget. */
  reservedTokens: number
  /** Held for the client account, reserved or free. */
  accountHeldTokens: number
}

/** The configuration in force, as text of JSON; empty before the first. */
export interface ConfigurationReply {
  head: string
  manifest: string
}

/** Names a stream and the client account that must own it. */
export interface TakeOverRequest {
  requestId: string
  account: string
}

/** What became of a stream that was asked for. */
export const TakeOverState = { billed: 'billed', handedOver: 'handed-over', unknown: 'unknown' } as const
export type TakeOverState = typeof TakeOverState[keyof typeof TakeOverState]

/** Answer to a request to give up a stream. */
export interface TakeOverReply {
  state: TakeOverState
  /** The record of the stream; set where it is handed over. */
  intent?: decisions.journalTypes.Intent
}

/** A message without content. */
export type Empty = Record<string, never>

/** Requests and replies of all calls between routers. */
export interface PeerCalls {
  Heartbeat: { request: HeartbeatMessage, reply: HeartbeatMessage }
  Hold: { request: HoldRequest, reply: HoldReply }
  Seal: { request: SealRequest, reply: RecordsReply }
  LookUp: { request: LookUpRequest, reply: LookUpReply }
  Transfer: { request: TransferRequest, reply: TransferReply }
  FetchConfiguration: { request: Empty, reply: ConfigurationReply }
  TakeOver: { request: TakeOverRequest, reply: TakeOverReply }
}

/** Name of a call between routers. */
export type PeerCallName = keyof PeerCalls
