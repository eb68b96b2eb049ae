import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import * as recoveries from './recovery.js'

/** Time between two recovery rounds, in milliseconds. */
const RECOVERY_INTERVAL_MS = 500

/** Time between two checks whether all recoveries have finished, in milliseconds. */
const IDLE_POLL_INTERVAL_MS = 50

/** Dependencies of a recovery task. */
export interface RecoveryTaskOptions {
  recovery: recoveries.Recovery
  membership: decisions.membership.Membership
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  /** Time without heartbeats after which an incarnation counts as dead, in milliseconds. */
  deadAfterMs: number
  self: () => decisions.membership.Member
  /** Removes the registration of a recovered incarnation. */
  unregister: (incarnation: string) => Promise<void>
}

/** Periodically recovers the incarnations that have ended, until each is folded into the ledger pages. */
export class RecoveryTask {
  readonly #options: RecoveryTaskOptions
  readonly #recovering = new Set<string>()
  #loop: runtime.task.PeriodicTask | undefined

  constructor (options: RecoveryTaskOptions) {
    this.#options = options
  }

  start (): void {
    this.#loop = new runtime.task.PeriodicTask({
      intervalMs: RECOVERY_INTERVAL_MS,
      action: async () => { await this.#runRound() },
      onError: (error) => { this.#options.logger.warn({ event: 'recovery-failed', step: 'recover', peer: 'platform', reason: (error as Error).message }) },
      sleep: (milliseconds, signal) => this.#options.clock.sleep(milliseconds, signal)
    })
  }

  async stop (): Promise<void> {
    await this.#loop?.stop()
  }

  /** Adds an incarnation that is known to have ended, without waiting for the failure detector. */
  add (incarnation: string): void {
    this.#recovering.add(incarnation)
  }

  /** Waits until no recovery is in progress at this router, or `limitMs` have passed. */
  async waitUntilIdle (limitMs: number): Promise<void> {
    const deadline = this.#options.clock.now() + limitMs
    while (this.#recovering.size > 0 && this.#options.clock.now() < deadline) await this.#options.clock.sleep(IDLE_POLL_INTERVAL_MS)
  }

  /** Number of incarnations that this router is recovering. */
  get recoveringCount (): number {
    return this.#recovering.size
  }

  async #runRound (): Promise<void> {
    for (const member of this.#options.membership.dead(this.#options.clock.now())) {
      if (this.#isResponsibleFor(member)) this.#recovering.add(member.incarnation)
    }
    for (const incarnation of this.#recovering) await this.#tryAdvance(incarnation)
  }

  async #tryAdvance (incarnation: string): Promise<void> {
    try {
      await this.#advance(incarnation)
    } catch (error) {
      this.#options.logger.warn({ event: 'recovery-delayed', incarnation, step: 'recover', peer: 'platform', reason: (error as Error).message })
    }
  }

  /**
   * Returns whether this router should recover a dead incarnation by now. The order of the routers comes from rendezvous
   * hashing; each waits `deadAfterMs` longer than its predecessor, so that the next one steps in if one does nothing.
   */
  #isResponsibleFor (dead: decisions.membership.Member): boolean {
    const { membership, clock, deadAfterMs } = this.#options
    const self = this.#options.self()
    const now = clock.now()
    const order = decisions.hashing.rendezvousOrder([self, ...membership.live(now)], dead.incarnation, (member) => member.incarnation)
    const position = order.findIndex((member) => member.incarnation === self.incarnation)
    return membership.silenceMs(dead.incarnation, now) > deadAfterMs * (1 + position)
  }

  async #advance (incarnation: string): Promise<void> {
    const progress = await this.#options.recovery.advance(incarnation)
    this.#options.membership.markSealed(incarnation)
    if (progress !== recoveries.RecoveryProgress.done) return
    await this.#options.unregister(incarnation)
    this.#recovering.delete(incarnation)
  }
}
