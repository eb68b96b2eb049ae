import type * as decisions from '@acaciaweir/decisions'

/** State of a router, sent and returned with each heartbeat. */
export interface HeartbeatMessage extends decisions.membership.Member {
  /** Targets known to the sender to be leaving. */
  leavingTargets: string[]
  /** Incarnations suspected by the sender's failure detector, because they missed its heartbeats. */
  suspects: string[]
  /** Prompt parts under which targets have crashed, as far as the sender knows. */
  promptParts: decisions.promptPartBoard.PromptPartReport[]
}

/** Copies of log records of one incarnation, for a witness to store. */
export interface HoldRequest {
  witness: string
  /** Owner of the records. */
  incarnation: string
  records: decisions.journalTypes.LogRecord[]
  /** Highest sequence number that the owner's journal contains. */
  journaled: number
}

/** Reply to a request to store copies of log records. */
export interface HoldReply {
  /** The witness has sealed the owner and does not store the records. */
  sealed: boolean
}

/**
 * Asks a witness to seal an incarnation: to reject further records of it (fencing). Names the witness, because its address
 * may have been taken over by a later incarnation that does not have the copies.
 */
export interface SealRequest {
  incarnation: string
  witness: string
}

/** Copies of log records that a witness holds. */
export interface RecordsReply {
  records: decisions.journalTypes.LogRecord[]
}

/** Asks the router whose incarnation a request key names whether the request has run. */
export interface LookUpRequest {
  account: string
  key: string
}

/** State of the request, as known to the replying router. */
export interface LookUpReply {
  state: decisions.journalTypes.RunState
}

/** Asks a router to return free tokens to the ledger page of a budget. */
export interface TransferRequest {
  transferId: string
  budget: string
  account: string
  tokens: number
}

/** Tokens that the replying router has returned to the ledger page, and those that it keeps. */
export interface TransferReply {
  /** Tokens returned to the ledger page. */
  tokens: number
  /** Tokens reserved by requests in progress, for all client accounts of the budget. */
  reservedTokens: number
  /** Tokens kept for the client account, reserved or free. */
  accountHeldTokens: number
}

/** The configuration in force as JSON texts; empty if the router has no configuration yet. */
export interface ConfigurationReply {
  head: string
  manifest: string
}

/** Asks a router to release a stream, if it belongs to the client account. */
export interface TakeOverRequest {
  requestId: string
  account: string
}

/** State of a stream that another router asked for. */
export const TakeOverState = { billed: 'billed', handedOver: 'handed-over', unknown: 'unknown' } as const
export type TakeOverState = typeof TakeOverState[keyof typeof TakeOverState]

/** Reply to a request to release a stream. */
export interface TakeOverReply {
  state: TakeOverState
  /** The stream's intent; set only if the state is `handedOver`. */
  intent?: decisions.journalTypes.Intent
}

/** A message without fields. */
export type Empty = Record<string, never>

/** Request and reply types of the RPCs between routers, by name. */
export interface PeerCalls {
  Heartbeat: { request: HeartbeatMessage, reply: HeartbeatMessage }
  Hold: { request: HoldRequest, reply: HoldReply }
  Seal: { request: SealRequest, reply: RecordsReply }
  LookUp: { request: LookUpRequest, reply: LookUpReply }
  Transfer: { request: TransferRequest, reply: TransferReply }
  FetchConfiguration: { request: Empty, reply: ConfigurationReply }
  TakeOver: { request: TakeOverRequest, reply: TakeOverReply }
}

/** Name of an RPC between routers. */
export type PeerCallName = keyof PeerCalls
