import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import type * as fleetViews from './fleet-view.js'

/** Time for which a target is left out when the gateway that keeps its limit does not answer, in milliseconds. */
const UNREACHABLE_PAUSE_MS = 500

/** Pause of a gateway that was asked although another one keeps the limit, until all agree on the keeper, in milliseconds. */
const WRONG_KEEPER_PAUSE_MS = 300

/** Time for which the most urgent requests wait for a permit, in milliseconds. Those of rank 1 wait half as long, and so on. */
const MAXIMUM_WAIT_MS = 1000

/** Least time between a denial and the next question, in milliseconds. */
const MINIMUM_DENIAL_MS = 1

/** Denials above which those that are over are forgotten. */
const MAXIMUM_DENIALS = 500

type Entry = decisions.agreementTypes.TargetEntry

/** The rate to which a target is held, and the name under which its keeper knows it. */
interface Limit {
  target: string
  perSecond: number
  isCold: boolean
}

export interface TargetPermitsOptions {
  clock: decisions.clock.Clock
  limits: decisions.targetLimits.TargetLimits
  coldTargets: decisions.coldTargets.ColdTargets
  random: decisions.random.RandomSource
  view: Pick<fleetViews.FleetView, 'gatewayCount' | 'isIntroduced' | 'keeperOf' | 'knownGatewayCount' | 'reachableShare'>
  /** Asks the gateway that keeps a target's limit. Rejects if it does not answer. */
  requestPermit: (peerAddress: string, request: routers.gatewayMessages.PermitRequest) => Promise<routers.gatewayMessages.PermitReply>
  onOutcome: (outcome: 'granted' | 'denied' | 'unreachable' | 'own-share') => void
}

/**
 * Keeps all gateways together within the limits that targets name, and within the rate of those that are cold. One gateway keeps the limit of each target, chosen by rendezvous hashing among
 * the live ones, and grants a permit for each request; the others ask it before they send.
 */
export class TargetPermits {
  readonly #options: TargetPermitsOptions
  readonly #issuer = new decisions.targetLimits.PermitIssuer()
  readonly #unreachedShares: decisions.targetLimits.UnreachedShares
  /** Time until which no permit is asked for, by target. */
  readonly #deniedUntil = new Map<string, number>()
  /** Ranks of the requests that wait for a permit, by service. */
  readonly #waitingRanks = new Map<string, number[]>()

  constructor (options: TargetPermitsOptions) {
    this.#options = options
    this.#unreachedShares = new decisions.targetLimits.UnreachedShares(options.random)
  }

  /** Returns true if a request may be sent to a target, or may ask for a permit to do so. */
  mayAsk (entry: Entry, rank: number): boolean {
    if (this.#limitOf(entry) === undefined) return true
    if ((this.#deniedUntil.get(entry.id) ?? 0) > this.#options.clock.now()) return false
    return !this.#ranksWaitingFor(entry.service).some((waiting) => waiting < rank)
  }

  /** Resolves with true if one request may be sent to a target now. */
  async acquire (entry: Entry): Promise<boolean> {
    const limit = this.#limitOf(entry)
    if (limit === undefined) return true
    // While one request asks, the others go to other targets.
    this.#deniedUntil.set(entry.id, Infinity)
    const permit = await this.#requestPermit(limit)
    if (permit.isGranted) this.#deniedUntil.delete(entry.id)
    else this.#deniedUntil.set(entry.id, this.#options.clock.now() + Math.max(MINIMUM_DENIAL_MS, permit.retryAfterMs))
    this.#forgetPastDenials()
    return permit.isGranted
  }

  /** Answers another gateway that takes this one for the keeper of a target's limit. */
  answer (limit: routers.gatewayMessages.PermitRequest): routers.gatewayMessages.PermitReply {
    return this.#options.view.keeperOf(limit.target) === undefined ? this.#issue(limit) : { isGranted: false, retryAfterMs: WRONG_KEEPER_PAUSE_MS }
  }

  /**
   * Returns the time until a request may ask again, in milliseconds, where only permits keep it from all given targets; undefined where none of
   * them has a limit. Grows with the requests that wait already.
   */
  expectedWaitMs (entries: readonly Entry[]): number | undefined {
    const limits = entries.map((entry) => this.#limitOf(entry)).filter((limit) => limit !== undefined)
    if (limits.length === 0) return undefined
    const now = this.#options.clock.now()
    const nextMs = Math.min(...entries.map((entry) => (this.#deniedUntil.get(entry.id) ?? 0) - now))
    const permitsPerSecond = limits.reduce((sum, limit) => sum + limit.perSecond, 0) / this.#options.view.gatewayCount()
    const queuedMs = this.#ranksWaitingFor(entries[0].service).length / Math.max(permitsPerSecond, decisions.targetLimits.MINIMUM_RATE_PER_SECOND) * 1000
    return Math.max(0, nextMs === Infinity ? 0 : nextMs) + queuedMs
  }

  /** Longest time for which a request of a rank waits for a permit, in milliseconds. */
  maximumWaitMs (rank: number): number {
    return MAXIMUM_WAIT_MS / (1 + rank)
  }

  /** Counts a request as waiting, so that less urgent ones do not ask before it. The returned function ends this. */
  startWaiting (service: string, rank: number): () => void {
    this.#waitingRanks.set(service, [...this.#ranksWaitingFor(service), rank])
    return () => {
      const ranks = [...this.#ranksWaitingFor(service)]
      ranks.splice(ranks.indexOf(rank), 1)
      this.#waitingRanks.set(service, ranks)
    }
  }

  #forgetPastDenials (): void {
    if (this.#deniedUntil.size <= MAXIMUM_DENIALS) return
    const now = this.#options.clock.now()
    for (const [id, until] of this.#deniedUntil) {
      if (until <= now) this.#deniedUntil.delete(id)
    }
  }

  #limitOf (entry: Entry): Limit | undefined {
    const { clock, coldTargets, limits } = this.#options
    const target = decisions.agreementTypes.targetLifetime(entry)
    const named = limits.isEmpty ? undefined : limits.limitOf(target)
    const phase = coldTargets.phaseOf(entry, clock.now())
    if (phase !== undefined) return { target: phase.run, perSecond: Math.min(named ?? Infinity, phase.perSecond), isCold: true }
    return named === undefined ? undefined : { target, perSecond: named, isCold: false }
  }

  /** Grants or denies a permit as the keeper. A gateway that does not know the others yet may not be the keeper of a cold target. */
  #issue ({ target, perSecond, isCold }: Limit): decisions.targetLimits.Permit {
    const { clock, view } = this.#options
    if (isCold && (!view.isIntroduced() || this.#hasHeardNobody())) return { isGranted: false, retryAfterMs: WRONG_KEEPER_PAUSE_MS }
    return this.#issuer.request(target, perSecond, view.reachableShare(isCold), clock.now(), isCold)
  }

  /** Returns true if this gateway knows addresses of others but has heard none, so that another one may keep the limit. */
  #hasHeardNobody (): boolean {
    const { view } = this.#options
    return view.gatewayCount() === 1 && view.reachableShare(false) === 1 && view.reachableShare(true) < 1
  }

  #ranksWaitingFor (service: string): readonly number[] {
    return this.#waitingRanks.get(service) ?? []
  }

  async #requestPermit (limit: Limit): Promise<decisions.targetLimits.Permit> {
    const { onOutcome, requestPermit, view } = this.#options
    const keeper = view.keeperOf(limit.target)
    try {
      if (keeper === undefined && limit.isCold && view.isIntroduced() && this.#hasHeardNobody()) return this.#useOwnShare(limit)
      const permit = keeper === undefined ? this.#issue(limit) : await requestPermit(keeper, limit)
      onOutcome(permit.isGranted ? 'granted' : 'denied')
      return permit
    } catch {
      onOutcome('unreachable')
      return limit.isCold ? this.#useOwnShare(limit) : { isGranted: false, retryAfterMs: UNREACHABLE_PAUSE_MS }
    }
  }

  #useOwnShare ({ target, perSecond }: Limit): decisions.targetLimits.Permit {
    const { clock, onOutcome, view } = this.#options
    const { isGranted, retryAfterMs } = this.#unreachedShares.request(target, perSecond, view.knownGatewayCount(), clock.now())
    if (isGranted) onOutcome('own-share')
    return { isGranted, retryAfterMs: Math.min(UNREACHABLE_PAUSE_MS, retryAfterMs) }
  }
}
