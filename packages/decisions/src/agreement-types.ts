/** Retry safety of a request. Only a repeatable (idempotent) request may run more than once. */
export const Repetition = { repeatable: 'repeatable', atMostOnce: 'at-most-once' } as const
export type Repetition = typeof Repetition[keyof typeof Repetition]

/** A service and the weight with which it receives a route's requests. */
export interface ServiceShare {
  service: string
  weight: number
}

/** Routing rule for the requests of one host name and path prefix. */
export interface Route {
  name: string
  host: string
  pathPrefix: string
  repetition: Repetition
  /** The answer is a stream of server-sent events. */
  streaming: boolean
  /** A broken stream may continue at another target. */
  resumable: boolean
  /** Most time that a request may remain unanswered. */
  timeoutMs: number
  /** Latency objective, up to the complete answer or to the first event of a stream. */
  objectiveMs: number
  /** Longest pause between two events of a stream that is on time; undefined if the route names none. */
  pauseObjectiveMs?: number
  /** Priority; 0 is the most urgent. */
  rank: number
  /** Most targets at which one request may run, retries included. */
  maximumTargets: number
  /** Requests need no API key. */
  anonymous: boolean
  shares: ServiceShare[]
}

/** Capacity of each target of a model engine. */
export interface EngineCapacity {
  slots: number
  cacheTokens: number
  /** Most output tokens in one event of a stream. */
  tokensPerEvent: number
}

/** A group of interchangeable targets. */
export interface Service {
  name: string
  /** Connections that a target accepts from all routers together. */
  maximumConnections: number
  /** Set for model engines only. */
  engine?: EngineCapacity
}

/** A client account with its keys and its prepaid budget. */
export interface Account {
  name: string
  keys: string[]
  /** Overrides the rank of the route. */
  rank?: number
  /** Cap of the prepaid budget, in tokens. Absent if the account has no budget. */
  prepaidTokens?: number
}

/** Size limits and timeouts for requests of callers. */
export interface CallerLimits {
  headerBytes: number
  bodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** One complete, validated version of the agreement, which is the operators' configuration of routes, services and accounts. */
export interface Agreement {
  version: number
  routes: Route[]
  services: Service[]
  /** Absent if no request needs an API key. */
  accounts?: Account[]
  limits: CallerLimits
}

/** Registration of a target. */
export interface TargetEntry {
  id: string
  service: string
  /** IP address and port. */
  address: string
  availabilityZone: string
  slots: number
  leaving: boolean
  /** Wall-clock time at which the target started, in milliseconds since 1970; undefined if it does not say. */
  startedAt?: number
}

/** Returns a name of one run of a target at its address. Another target may get the address later, and a run without a start time keeps its id. */
export function targetRunAtAddress (entry: TargetEntry): string {
  return `${targetLifetime(entry)} ${entry.address}`
}

/** Returns a name of one run of a target. A target that starts again under its id knows nothing of before. */
export function targetLifetime (entry: TargetEntry): string {
  return entry.startedAt === undefined ? entry.id : `${entry.id}@${entry.startedAt}`
}
