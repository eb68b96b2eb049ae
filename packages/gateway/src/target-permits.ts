import * as decisions from '@acaciaweir/decisions'
import type * as routers from '@acaciaweir/routers'
import type * as fleetViews from './fleet-view.js'

/** Time for which a target is left out when the gateway that keeps its limit does not answer, in milliseconds. */
const UNREACHABLE_PAUSE_MS = 500

/** Pause of a gateway that was asked although another one keeps the limit, until all agree on the keeper, in milliseconds. */
const WRONG_KEEPER_PAUSE_MS = 300

/** Time for which the most urgent requests wait for a permit, in milliseconds. Those of rank 1 wait half as long, and so on. */
const MAXIMUM_WAIT_MS = 1000

/** Denials above which those that are over are forgotten. */
const MAXIMUM_DENIALS = 500

type Entry = decisions.agreementTypes.TargetEntry

export interface TargetPermitsOptions {
  clock: decisions.clock.Clock
  limits: decisions.targetLimits.TargetLimits
  view: Pick<fleetViews.FleetView, 'gatewayCount' | 'keeperOf' | 'reachableShare'>
  /** Asks the gateway that keeps a target's limit. Rejects if it does not answer. */
  requestPermit: (peerAddress: string, request: routers.gatewayMessages.PermitRequest) => Promise<routers.gatewayMessages.PermitReply>
  onOutcome: (outcome: 'granted' | 'denied' | 'unreachable') => void
}

/**
 * Keeps all gateways together within the limits that targets name. One gateway keeps the limit of each target, chosen by rendezvous hashing among
 * the live ones, and grants a permit for each request; the others ask it before they send.
 */
export class TargetPermits {
  readonly #options: TargetPermitsOptions
  readonly #issuer = new decisions.targetLimits.PermitIssuer()
  /** Time until which no permit is asked for, by target. */
  readonly #deniedUntil = new Map<string, number>()
  /** Ranks of the requests that wait for a permit, by service. */
  readonly #waitingRanks = new Map<string, number[]>()

  constructor (options: TargetPermitsOptions) {
    this.#options = options
  }

  /** Returns true if a request may be sent to a target, or may ask for a permit to do so. */
  mayAsk (entry: Entry, rank: number): boolean {
    if (this.#limitOf(entry) === undefined) return true
    if ((this.#deniedUntil.get(entry.id) ?? 0) > this.#options.clock.now()) return false
    return !this.#ranksWaitingFor(entry.service).some((waiting) => waiting < rank)
  }

  /** Resolves with true if one request may be sent to a target now. */
  async acquire (entry: Entry): Promise<boolean> {
    const perSecond = this.#limitOf(entry)
    if (perSecond === undefined) return true
    // While one request asks, the others go to other targets.
    this.#deniedUntil.set(entry.id, Infinity)
    const permit = await this.#requestPermit(decisions.agreementTypes.targetLifetime(entry), perSecond)
    if (permit.isGranted) this.#deniedUntil.delete(entry.id)
    else this.#deniedUntil.set(entry.id, this.#options.clock.now() + permit.retryAfterMs)
    this.#forgetPastDenials()
    return permit.isGranted
  }

  /** Answers another gateway that takes this one for the keeper of a target's limit. */
  answer ({ target, perSecond }: routers.gatewayMessages.PermitRequest): routers.gatewayMessages.PermitReply {
    if (this.#options.view.keeperOf(target) !== undefined) return { isGranted: false, retryAfterMs: WRONG_KEEPER_PAUSE_MS }
    return this.#issuer.request(target, perSecond, this.#options.view.reachableShare(), this.#options.clock.now())
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
    const permitsPerSecond = limits.reduce((sum, limit) => sum + limit, 0) / this.#options.view.gatewayCount()
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

  #limitOf (entry: Entry): number | undefined {
    if (this.#options.limits.isEmpty) return undefined
    return this.#options.limits.limitOf(decisions.agreementTypes.targetLifetime(entry))
  }

  #ranksWaitingFor (service: string): readonly number[] {
    return this.#waitingRanks.get(service) ?? []
  }

  async #requestPermit (target: string, perSecond: number): Promise<decisions.targetLimits.Permit> {
    const { clock, onOutcome, requestPermit, view } = this.#options
    const keeper = view.keeperOf(target)
    try {
      const permit = keeper === undefined ? this.#issuer.request(target, perSecond, view.reachableShare(), clock.now()) : await requestPermit(keeper, { target, perSecond })
      onOutcome(permit.isGranted ? 'granted' : 'denied')
      return permit
    } catch {
      onOutcome('unreachable')
      return { isGranted: false, retryAfterMs: UNREACHABLE_PAUSE_MS }
    }
  }
}
