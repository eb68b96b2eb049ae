/** Whether a request may run more than once. */
export const Repetition = { repeatable: 'repeatable', atMostOnce: 'at-most-once' } as const
export type Repetition = typeof Repetition[keyof typeof Repetition]

/** A service with its share of a route's requests. */
export interface ServiceShare {
  service: string
  weight: number
}

/** Where requests of one host name and path prefix go, and how they may be treated. */
export interface Route {
  name: string
  host: string
  pathPrefix: string
  repetition: Repetition
  /** The answer is a series of server-sent events. */
  streaming: boolean
  /** A stream that broke may go on at another target. */
  resumable: boolean
  /** Longest time that a request may stay unanswered. */
  timeoutMs: number
  /** Latency objective: to the whole answer, or to the first event of a stream. */
  objectiveMs: number
  /** 0 is the most urgent. */
  rank: number
  /** Targets at which one request may run. */
  maximumTargets: number
  /** Requests need no key. */
  anonymous: boolean
  shares: ServiceShare[]
}

/** What a model engine's targets can hold. */
export interface EngineSize {
  slots: number
  cacheTokens: number
  /** Most output tokens that one event of a stream carries. */
  tokensPerEvent: number
}

/** A group of interchangeable targets. */
export interface Service {
  name: string
  /** Connections that a target accepts from all routers together. */
  maximumConnections: number
  /** Set for model engines only. */
  engine?: EngineSize
}

/** A client account with its keys and its prepaid budget. */
export interface Account {
  name: string
  keys: string[]
  /** Takes precedence over the route's rank. */
  rank?: number
  /** Total that the account may consume. No budget is kept where it is absent. Unit: tokens. */
  prepaidTokens?: number
}

/** Bounds on what a caller may send, and how long it may take. */
export interface CallerLimits {
  headerBytes: number
  bodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** One version of the operators' agreement, checked and whole. */
export interface Agreement {
  version: number
  routes: Route[]
  services: Service[]
  /** Absent where requests need no key at all. */
  accounts?: Account[]
  limits: CallerLimits
}

/** A target as it has registered itself. */
export interface TargetEntry {
  id: string
  service: string
  /** IP address and port. */
  address: string
  availabilityZone: string
  slots: number
  leaving: boolean
}
