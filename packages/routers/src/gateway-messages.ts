/** What a gateway tells the others of itself. */
export interface GatewayMember {
  host: string
  /** Identity of one life of the process, never used again. */
  incarnation: string
  peerAddress: string
  callerAddress: string
  availabilityZone: string
  leaving: boolean
  ready: boolean
  /** Share of its processor time that the gateway used lately. */
  load: number
  /** Time since the store last answered the gateway, in milliseconds. */
  storeSilenceMs: number
  /** Processor time that the gateway may use, as a share of one core. */
  processorShare: number
}

/** A gateway that the sender hears, directly or through others. */
export interface HeardGateway {
  peerAddress: string
  /** Time since its last sign of life, in milliseconds. */
  ageMs: number
}

/** A gateway's own requests in flight at a target. */
export interface TargetWorkMessage {
  id: string
  requests: number
  unreadTokens: number
}

/** What a gateway tells others of itself and of what it knows, in one datagram. */
export interface GatewayHeartbeat {
  sender: GatewayMember
  heard: HeardGateway[]
  agreementVersion: number
  targetsRevision: number
  work: TargetWorkMessage[]
  /** Free tokens that the sender holds, by client account. */
  freeTokens: Record<string, number>
  /** Tokens a second that the sender spends, by client account. */
  spending: Record<string, number>
  leavingTargets: string[]
  /** Grows with each heartbeat of the incarnation; datagrams may overtake each other. */
  sequence: number
  /** The sender asks for a heartbeat in return. */
  asksForAnswer: boolean
}

/** Asks for free tokens of a client account. */
export interface TokenTransferRequest {
  transferId: string
  account: string
  tokens: number
  /** Peer address of the gateway that asks. */
  asker: string
}

/** Tokens that have left the asked gateway's pool. */
export interface TokenTransferReply {
  tokens: number
  /** The asked gateway knows from a fresh page that the budget is used up. */
  usedUp: boolean
  /** What the asked gateway still holds. */
  freeTokens: number
}

/** Tokens that have left the sender's pool for the receiver's. */
export interface TokenReturn {
  account: string
  tokens: number
}

/** Names what the sender has already. */
export interface StateRequest {
  agreementVersion: number
  targetsRevision: number
}

/** The agreement and the targets that a gateway knows, as JSON; empty where it has nothing newer. */
export interface GatewayState {
  agreement: string
  targets: string
  targetsRevision: number
}

/** Requests and replies of all calls between gateways. */
export interface GatewayCalls {
  TransferTokens: { request: TokenTransferRequest, reply: TokenTransferReply }
  ReturnTokens: { request: TokenReturn, reply: object }
  FetchState: { request: StateRequest, reply: GatewayState }
}
