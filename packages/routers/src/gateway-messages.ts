import type * as messages from './peer-messages.js'

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
}

/** A gateway's own requests in flight at a target. */
export interface TargetWorkMessage {
  id: string
  requests: number
  unreadTokens: number
}

/** What two gateways tell each other at each exchange. */
export interface GatewayHeartbeat {
  sender: GatewayMember
  /** Peer addresses of the other gateways that the sender hears. */
  peers: string[]
  agreementVersion: number
  targetsRevision: number
  work: TargetWorkMessage[]
  /** Free tokens that the sender holds, by client account. */
  freeTokens: Record<string, number>
  leavingTargets: string[]
}

/** Asks for free tokens of a client account. */
export interface TokenTransferRequest {
  transferId: string
  account: string
  tokens: number
}

/** Tokens that have left the asked gateway's pool. */
export interface TokenTransferReply {
  tokens: number
}

/** The agreement and the targets that a gateway knows, as JSON. */
export interface GatewayState {
  agreement: string
  targets: string
  targetsRevision: number
}

/** Requests and replies of all calls between gateways. */
export interface GatewayCalls {
  Exchange: { request: GatewayHeartbeat, reply: GatewayHeartbeat }
  TransferTokens: { request: TokenTransferRequest, reply: TokenTransferReply }
  FetchState: { request: messages.Empty, reply: GatewayState }
}
