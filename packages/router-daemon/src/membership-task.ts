import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'

/** Time between two reads of the platform's registrations and host list, in milliseconds. */
const PLATFORM_INTERVAL_MS = 2000

/** Live routers that send heartbeats to any one router. */
const WATCHER_COUNT = 3

/** Registrations for which one read is due each interval; a larger fleet is read less often. */
const REGISTRATIONS_PER_INTERVAL = 4

/** What a membership task works with. */
export interface MembershipOptions {
  platform: platform.platformClient.PlatformClient
  peers: routers.peerClient.PeerClient
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  membership: decisions.membership.Membership
  heartbeatIntervalMs: number
  self: () => routers.peerMessages.HeartbeatMessage
  /** True for the incarnations of this process. */
  isOwn: (incarnation: string) => boolean
  /** Called with what another router said of itself. */
  onHeartbeat: (message: routers.peerMessages.HeartbeatMessage) => void
  onHostList: (list: platform.platformClient.HostList) => void
  /** Called for each incarnation whose registration is older than this host's present one. */
  onPredecessor: (incarnation: string) => void
}

/** Exchanges heartbeats with other routers and reads what the platform says of them. */
export class MembershipTask {
  readonly #options: MembershipOptions
  readonly #loops: runtime.task.PeriodicTask[] = []
  #turn = 0

  constructor (options: MembershipOptions) {
    this.#options = options
  }

  start (): void {
    this.#loops.push(this.#periodic(this.#options.heartbeatIntervalMs, 'send heartbeats', () => this.#sendHeartbeats()))
    this.#loops.push(this.#periodic(PLATFORM_INTERVAL_MS, 'read registrations', () => this.#readRegistrationsInTurn()))
    this.#loops.push(this.#periodic(PLATFORM_INTERVAL_MS, 'read suspects', () => this.#readSuspects()))
    this.#loops.push(this.#periodic(PLATFORM_INTERVAL_MS, 'read host list', () => this.#readHostList()))
  }

  async stop (): Promise<void> {
    await Promise.all(this.#loops.map((loop) => loop.stop()))
  }

  /** True where a later process answers at a host, which proves that the given one has ended. */
  async isReplaced (host: string, process: string): Promise<boolean> {
    for (const member of this.#options.membership.otherProcessesAt(host, process)) {
      try {
        const reply = await this.#options.peers.call(member.peerAddress, 'Heartbeat', this.#options.self(), this.#options.heartbeatIntervalMs)
        if (reply.host === host && reply.process !== process) return true
      } catch {
        // A process that does not answer proves nothing.
      }
    }
    return false
  }

  /** Registers an incarnation, so that others find it. Throws PlatformUnavailable. */
  async register (member: decisions.membership.Member): Promise<void> {
    await platform.conditionalUpdate.updateObject<decisions.membership.Member, undefined>(
      this.#options.platform,
      platform.objectKeys.registrationKey(member.incarnation),
      (present) => present === undefined
        ? { kind: 'write', value: member, result: undefined }
        : { kind: 'keep', result: undefined }
    )
  }

  /** Removes the registration of an incarnation whose journal has been folded. Throws PlatformUnavailable. */
  async unregister (incarnation: string): Promise<void> {
    this.#options.membership.remove(incarnation)
    const key = platform.objectKeys.registrationKey(incarnation)
    const stored = await this.#options.platform.read(key)
    if (stored !== undefined) await this.#options.platform.remove(key, stored.version)
  }

  async #sendHeartbeats (): Promise<void> {
    const self = this.#options.self()
    const watched = this.#options.membership.updateMonitored(self.incarnation, WATCHER_COUNT, this.#options.clock.now())
    await Promise.all(watched.map((member) => this.#sendHeartbeat(member, self)))
  }

  async #sendHeartbeat (member: decisions.membership.Member, self: routers.peerMessages.HeartbeatMessage): Promise<void> {
    try {
      const reply = await this.#options.peers.call(member.peerAddress, 'Heartbeat', self, this.#options.heartbeatIntervalMs)
      this.#options.onHeartbeat(reply)
    } catch (error) {
      this.#options.logger.debug({ event: 'heartbeat-missed', incarnation: member.incarnation, step: 'heartbeat', peer: 'router', reason: (error as Error).message })
    }
  }

  async #readRegistrationsInTurn (): Promise<void> {
    this.#turn += 1
    const period = Math.ceil(this.#options.membership.unsealed().length / REGISTRATIONS_PER_INTERVAL)
    if (this.#turn % Math.max(1, period) === 0) await this.#readRegistrations()
  }

  async #readRegistrations (): Promise<void> {
    const { membership, clock } = this.#options
    const self = this.#options.self()
    const stored = await this.#options.platform.list(platform.objectKeys.REGISTRATION_PREFIX)
    for (const object of stored) {
      const member = object.value as decisions.membership.Member
      if (member.incarnation === self.incarnation) continue
      if (member.host === self.host) this.#options.onPredecessor(member.incarnation)
      if (this.#options.isOwn(member.incarnation)) continue
      membership.recordJournalWrites(member, 0, clock.now())
    }
    const listed = new Set(stored.map((object) => (object.value as decisions.membership.Member).incarnation))
    for (const member of membership.unsealed()) {
      if (!listed.has(member.incarnation)) await this.#checkUnlisted(member)
    }
  }

  /** A member without a registration has been folded, unless it has only just registered. */
  async #checkUnlisted (member: decisions.membership.Member): Promise<void> {
    const stored = await this.#options.platform.read(platform.objectKeys.journalKey(member.incarnation))
    const journal = stored?.value as decisions.journalTypes.Journal | undefined
    if (journal?.state === decisions.journalTypes.JournalState.folded) this.#options.membership.remove(member.incarnation)
  }

  /** The journal of a silent member tells whether it still reaches the platform. */
  async #readSuspects (): Promise<void> {
    const { membership, clock } = this.#options
    for (const member of membership.suspected(clock.now())) {
      const stored = await this.#options.platform.read(platform.objectKeys.journalKey(member.incarnation))
      const journal = stored?.value as decisions.journalTypes.Journal | undefined
      if (journal === undefined) continue
      if (journal.state === decisions.journalTypes.JournalState.active) membership.recordJournalWrites(member, journal.writes, clock.now())
    }
  }

  async #readHostList (): Promise<void> {
    this.#options.onHostList(await this.#options.platform.hosts())
  }

  #periodic (intervalMs: number, step: string, action: () => Promise<void>): runtime.task.PeriodicTask {
    return new runtime.task.PeriodicTask({
      intervalMs,
      action,
      onError: (error) => { this.#options.logger.warn({ event: 'membership-failed', step, peer: 'platform', reason: (error as Error).message }) },
      sleep: (milliseconds, signal) => this.#options.clock.sleep(milliseconds, signal)
    })
  }
}
