import type * as decisions from '@acaciaweir/decisions'

/** State of a gateway, as sent in its heartbeats. */
export interface GatewayMember {
  host: string
  /** Identity of one run of the process; never reused. */
  incarnation: string
  peerAddress: string
  callerAddress: string
  availabilityZone: string
  leaving: boolean
  ready: boolean
  /** Recent processor utilization of the gateway, as a share of the processor time that it may use. */
  load: number
  /** Time since the gateway's last successful store call, in milliseconds. */
  storeSilenceMs: number
  /** Processor time that the gateway may use, as a multiple of one core. */
  processorShare: number
  /** Time since what the gateway knows of the agreement and the targets was current, in milliseconds; 0 if the gateway doesn't say. */
  knowledgeAgeMs: number
  /** Whether the gateway reaches the store: a `ReachState`, or a number that a later release has added. */
  storeReach: number
  /** What has changed since earlier versions of the agreement; absent once its version has been in force for a while. */
  agreementChanges?: AgreementChangesMessage | null
}

/** What the sender's version of the agreement changes for the requests that an earlier one allows. */
export interface AgreementChangesMessage extends decisions.agreementChanges.AgreementChanges {
  /** Time for which the sender has had its version in force, in milliseconds. */
  inForceMs: number
}

/** A live gateway known to the sender from heartbeats, its own or those of other gateways (gossip). */
export interface HeardGateway {
  peerAddress: string
  /** Time since the gateway's last heartbeat, in milliseconds. */
  ageMs: number
}

/** Requests of one gateway in flight at a target. */
export interface TargetWorkMessage {
  id: string
  requests: number
  /** Estimated cost of reading the prompts of requests without a first event yet, in tokens of a short prompt. */
  unreadTokens: number
}

/** State of a gateway and its view of the fleet, sent as one UDP datagram. */
export interface GatewayHeartbeat {
  sender: GatewayMember
  heard: HeardGateway[]
  agreementVersion: number
  targetsRevision: number
  /** Epoch of the store to which `targetsRevision` belongs. */
  targetsEpoch: number
  /** Newest epoch of the store that the sender knows; 0 if it knows none. */
  storeEpoch: number
  /** Epoch of the store whose token page has all draws that the sender knows; 0 if it knows no page. */
  pageEpoch: number
  /** What the sender has drawn from the token page and not returned, by client account. */
  drawnTokens: Record<string, number>
  /** Number of the sender's change of the token page after which it had drawn this. */
  drawnChange: number
  /** The sender's own requests in flight, by target. */
  work: TargetWorkMessage[]
  /** Free tokens that the sender holds, by client account. */
  freeTokens: Record<string, number>
  /** Tokens per second that the sender spends, by client account. */
  spending: Record<string, number>
  /** Targets known to the sender to be leaving. */
  leavingTargets: string[]
  /** Prompt parts under which targets have crashed, as far as the sender knows. */
  promptParts: decisions.promptPartBoard.PromptPartReport[]
  /** Limits that targets have named, as far as the sender knows. */
  targetLimits: decisions.targetLimits.TargetLimitReport[]
  /** Targets that are cold, as far as the sender knows. */
  coldTargets: decisions.coldTargets.ColdTargetReport[]
  /** What the sender uses of services that have at most half of their slots free. */
  serviceUse: decisions.serviceRoom.ServiceUse[]
  /** Evacuated zones as of `evacuationsRevision`. */
  evacuatedZones: string[]
  evacuationsRevision: number
  /** Epoch of the store to which `evacuationsRevision` belongs; 0 if the sender knows nothing of evacuations. */
  evacuationsEpoch: number
  /** Increases with each heartbeat of the incarnation, because datagrams may arrive out of order. */
  sequence: number
  /** Requests a heartbeat in return. */
  asksForAnswer: boolean
}

/** Request for free tokens of a client account. */
export interface TokenTransferRequest {
  transferId: string
  account: string
  tokens: number
  /** Peer address of the requesting gateway. */
  asker: string
}

/** Tokens that the replying gateway has removed from its pool. */
export interface TokenTransferReply {
  tokens: number
  /** The replying gateway knows from a recently read token page that the budget is exhausted. */
  usedUp: boolean
  /** Free tokens that the replying gateway still holds. */
  freeTokens: number
  /** One more than the time since that page was read, in milliseconds; 0 if the gateway doesn't say. */
  pageAgeMs: number
}

/** Tokens of one client account. */
export interface AccountTokens {
  account: string
  tokens: number
}

/** Asks the gateway that writes the token page to draw tokens. With 0 tokens, only what remains is asked for. */
export interface DrawRequest {
  draws: AccountTokens[]
  /** Requests wait for the tokens. Others are drawn together with those of more gateways. */
  isUrgent: boolean
}

/** Tokens drawn for the asking gateway, and the page as of then. */
export interface DrawReply {
  /** The page was written or read as needed. If not, nothing was drawn. */
  isDone: boolean
  /** Tokens that were drawn and now belong to the asking gateway. */
  drawn: AccountTokens[]
  /** Tokens that remain on the page. */
  remaining: AccountTokens[]
  /** Time since the page was last read or written, in milliseconds. */
  pageAgeMs: number
}

/** Tokens that the sender has removed from its pool for the receiver to add to its own. */
export interface TokenReturn {
  account: string
  tokens: number
}

/** Asks the gateway that keeps a target's limit for one request to the target. */
export interface PermitRequest {
  target: string
  /** The limit as the sender knows it, in requests a second. */
  perSecond: number
  /** The limit is that of a cold target, which crashes above it. */
  isCold: boolean
}

/** Whether the request may be sent, and otherwise when to ask again. */
export type PermitReply = decisions.targetLimits.Permit

/** Versions that the sender already has. */
export interface StateRequest {
  agreementVersion: number
  targetsRevision: number
  targetsEpoch: number
  /** The sender reads a compressed agreement. */
  readsCompressed: boolean
}

/** The agreement and the list of targets that the replying gateway has, each as JSON; empty if it is not newer than the requested version. */
export interface GatewayState {
  agreement: string
  targets: string
  targetsRevision: number
  targetsEpoch: number
  /** The agreement's JSON, compressed with zlib; sent instead of the plain one to a gateway that reads it. */
  compressedAgreement: Uint8Array
}

/** Request and reply types of the RPCs between gateways, by name. */
export interface GatewayCalls {
  TransferTokens: { request: TokenTransferRequest, reply: TokenTransferReply }
  DrawTokens: { request: DrawRequest, reply: DrawReply }
  ReturnTokens: { request: TokenReturn, reply: object }
  RequestPermit: { request: PermitRequest, reply: PermitReply }
  FetchState: { request: StateRequest, reply: GatewayState }
}
