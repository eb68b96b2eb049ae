import * as decisions from '@acaciaweir/decisions'
import * as runtime from '@acaciaweir/runtime'
import * as recoveries from './recovery.js'

/** Time between two rounds of recovery, in milliseconds. */
const ROUND_INTERVAL_MS = 500

/** Pause between two looks at whether all recoveries have ended, in milliseconds. */
const FINISH_PAUSE_MS = 50

/** What a recovery task works with. */
export interface RecoveryTaskOptions {
  recovery: recoveries.Recovery
  membership: decisions.membership.Membership
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  deadAfterMs: number
  self: () => decisions.membership.Member
  /** Removes the registration of a recovered incarnation. */
  unregister: (incarnation: string) => Promise<void>
}

/** Finds ended incarnations and recovers each until it is folded. */
export class RecoveryTask {
  readonly #options: RecoveryTaskOptions
  readonly #recovering = new Set<string>()
  #loop: runtime.task.PeriodicTask | undefined

  constructor (options: RecoveryTaskOptions) {
    this.#options = options
  }

  start (): void {
    this.#loop = new runtime.task.PeriodicTask({
      intervalMs: ROUND_INTERVAL_MS,
      action: async () => { await this.#round() },
      onError: (error) => { this.#options.logger.warn({ event: 'recovery-failed', step: 'recover', peer: 'platform', reason: (error as Error).message }) },
      sleep: (milliseconds, signal) => this.#options.clock.sleep(milliseconds, signal)
    })
  }

  async stop (): Promise<void> {
    await this.#loop?.stop()
  }

  /** Adds an incarnation that is known to have ended. */
  add (incarnation: string): void {
    this.#recovering.add(incarnation)
  }

  /** Waits until all recoveries under way here have ended, or the time is over. */
  async finish (limitMs: number): Promise<void> {
    const deadline = this.#options.clock.now() + limitMs
    while (this.#recovering.size > 0 && this.#options.clock.now() < deadline) await this.#options.clock.sleep(FINISH_PAUSE_MS)
  }

  /** Incarnations whose recovery is under way here. */
  get size (): number {
    return this.#recovering.size
  }

  async #round (): Promise<void> {
    for (const member of this.#options.membership.dead(this.#options.clock.now())) {
      if (this.#isOwnTurn(member)) this.#recovering.add(member.incarnation)
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

  /** Routers take turns by rendezvous order; one that does nothing is followed by the next. */
  #isOwnTurn (dead: decisions.membership.Member): boolean {
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
