import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'

/** Interval of the reads of registrations, suspects' journals and the host list, in milliseconds. */
const PLATFORM_READ_INTERVAL_MS = 2000

/** Number of live routers that send heartbeats to each router. */
const MONITOR_COUNT = 3

/** Upper limit of the average number of registrations read per interval. The list of a larger fleet is read less often. */
const REGISTRATIONS_READ_PER_INTERVAL = 4

/** Dependencies of the membership task. */
export interface MembershipTaskOptions {
  platform: platform.platformClient.PlatformClient
  peers: routers.peerClient.PeerClient
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  membership: decisions.membership.Membership
  heartbeatIntervalMs: number
  ownHeartbeat: () => routers.peerMessages.HeartbeatMessage
  /** Returns true for an incarnation of this process. */
  isOwnIncarnation: (incarnation: string) => boolean
  /** Called with each heartbeat reply of another router. */
  onHeartbeat: (message: routers.peerMessages.HeartbeatMessage) => void
  onHostList: (list: platform.platformClient.HostList) => void
  /** Called for each earlier incarnation that is still registered for this host. */
  onPredecessor: (incarnation: string) => void
}

/** Feeds the failure detector: exchanges heartbeats with other routers, and reads their registrations and journals. */
export class MembershipTask {
  readonly #options: MembershipTaskOptions
  readonly #periodicTasks: runtime.task.PeriodicTask[] = []
  #elapsedIntervals = 0

  constructor (options: MembershipTaskOptions) {
    this.#options = options
  }

  start (): void {
    this.#periodicTasks.push(this.#startPeriodicTask(this.#options.heartbeatIntervalMs, 'send heartbeats', () => this.#sendHeartbeats()))
    this.#periodicTasks.push(this.#startPeriodicTask(PLATFORM_READ_INTERVAL_MS, 'read registrations', () => this.#readRegistrationsIfDue()))
    this.#periodicTasks.push(this.#startPeriodicTask(PLATFORM_READ_INTERVAL_MS, 'read suspects', () => this.#readSuspectJournals()))
    this.#periodicTasks.push(this.#startPeriodicTask(PLATFORM_READ_INTERVAL_MS, 'read host list', () => this.#readHostList()))
  }

  async stop (): Promise<void> {
    await Promise.all(this.#periodicTasks.map((task) => task.stop()))
  }

  /** Returns true if a later process answers at the host, which proves that the given process has ended. */
  async isReplaced (host: string, process: string): Promise<boolean> {
    for (const member of this.#options.membership.otherProcessesAt(host, process)) {
      try {
        const reply = await this.#options.peers.call(member.peerAddress, 'Heartbeat', this.#options.ownHeartbeat(), this.#options.heartbeatIntervalMs)
        if (reply.host === host && reply.process !== process) return true
      } catch {
        // A missing answer proves neither that the process runs nor that it has ended.
      }
    }
    return false
  }

  /** Registers an incarnation, so that other routers discover it. Throws PlatformUnavailable. */
  async register (member: decisions.membership.Member): Promise<void> {
    await platform.conditionalUpdate.updateObject<decisions.membership.Member, undefined>(
      this.#options.platform,
      platform.objectKeys.registrationKey(member.incarnation),
      (current) => current === undefined
        ? { kind: 'write', value: member, result: undefined }
        : { kind: 'keep', result: undefined }
    )
  }

  /** Removes the registration of an incarnation whose journal is folded (compacted). Throws PlatformUnavailable. */
  async unregister (incarnation: string): Promise<void> {
    this.#options.membership.remove(incarnation)
    const key = platform.objectKeys.registrationKey(incarnation)
    const stored = await this.#options.platform.read(key)
    if (stored !== undefined) await this.#options.platform.remove(key, stored.version)
  }

  async #sendHeartbeats (): Promise<void> {
    const self = this.#options.ownHeartbeat()
    const monitored = this.#options.membership.updateMonitored(self.incarnation, MONITOR_COUNT, this.#options.clock.now())
    await Promise.all(monitored.map((member) => this.#sendHeartbeat(member, self)))
  }

  async #sendHeartbeat (member: decisions.membership.Member, self: routers.peerMessages.HeartbeatMessage): Promise<void> {
    try {
      const reply = await this.#options.peers.call(member.peerAddress, 'Heartbeat', self, this.#options.heartbeatIntervalMs)
      this.#options.onHeartbeat(reply)
    } catch (error) {
      this.#options.logger.debug({ event: 'heartbeat-missed', incarnation: member.incarnation, step: 'heartbeat', peer: 'router', reason: (error as Error).message })
    }
  }

  async #readRegistrationsIfDue (): Promise<void> {
    this.#elapsedIntervals += 1
    const periodInIntervals = Math.ceil(this.#options.membership.unsealed().length / REGISTRATIONS_READ_PER_INTERVAL)
    if (this.#elapsedIntervals % Math.max(1, periodInIntervals) === 0) await this.#readRegistrations()
  }

  async #readRegistrations (): Promise<void> {
    const { membership, clock } = this.#options
    const self = this.#options.ownHeartbeat()
    const stored = await this.#options.platform.list(platform.objectKeys.REGISTRATION_PREFIX)
    for (const object of stored) {
      const member = object.value as decisions.membership.Member
      if (member.incarnation === self.incarnation) continue
      if (member.host === self.host) this.#options.onPredecessor(member.incarnation)
      if (this.#options.isOwnIncarnation(member.incarnation)) continue
      membership.recordJournalWrites(member, 0, clock.now())
    }
    const registered = new Set(stored.map((object) => (object.value as decisions.membership.Member).incarnation))
    for (const member of membership.unsealed()) {
      if (!registered.has(member.incarnation)) await this.#removeIfFolded(member)
    }
  }

  /** Removes a member without a registration if its journal is folded. Otherwise the member has only just registered. */
  async #removeIfFolded (member: decisions.membership.Member): Promise<void> {
    const stored = await this.#options.platform.read(platform.objectKeys.journalKey(member.incarnation))
    const journal = stored?.value as decisions.journalTypes.Journal | undefined
    if (journal?.state === decisions.journalTypes.JournalState.folded) this.#options.membership.remove(member.incarnation)
  }

  /** Reads the journals of suspected members. A member whose journal has new writes is alive and still reaches the platform. */
  async #readSuspectJournals (): Promise<void> {
    const { membership, clock } = this.#options
    for (const member of membership.suspected(clock.now())) {
      const stored = await this.#options.platform.read(platform.objectKeys.journalKey(member.incarnation))
      const journal = stored?.value as decisions.journalTypes.Journal | undefined
      if (journal === undefined) continue
      if (journal.state === decisions.journalTypes.JournalState.active) membership.recordJournalWrites(member, journal.writes, clock.now())
    }
  }

  async #readHostList (): Promise<void> {
    this.#options.onHostList(await this.#options.platform.readHostList())
  }

  #startPeriodicTask (intervalMs: number, step: string, action: () => Promise<void>): runtime.task.PeriodicTask {
    return new runtime.task.PeriodicTask({
      intervalMs,
      action,
      onError: (error) => { this.#options.logger.warn({ event: 'membership-failed', step, peer: 'platform', reason: (error as Error).message }) },
      sleep: (milliseconds, signal) => this.#options.clock.sleep(milliseconds, signal)
    })
  }
}
