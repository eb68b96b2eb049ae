import * as hashing from './hashing.js'

/** A router incarnation as it registers itself and announces itself in heartbeats. */
export interface Member {
  incarnation: string
  host: string
  availabilityZone: string
  peerAddress: string
  /** Identity of the process; the same for all incarnations of one process. */
  process: string
  callerAddress: string
  generation: number
  leaving: boolean
}

/** Timeouts of the failure detector, in milliseconds since a member's last sign of life. */
export interface FailureDetectorTimeouts {
  /** Silence after which a member is suspected and gets no new work. */
  suspectAfterMs: number
  /** Silence after which a member is declared dead, so that its journal may be sealed. */
  deadAfterMs: number
}

interface MemberState {
  member: Member
  /** Set while this router sends heartbeats to the member. The silence of other members is not evidence of a failure. */
  isMonitored: boolean
  lastSeenAt: number
  /** Time until which the suspicion of another router applies, if this router does not monitor the member. */
  suspectedUntil: number
  /** Write counter of the member's journal, as last read. */
  journalWrites: number
  isSealed: boolean
}

/**
 * Failure detector for the other routers of the fleet. Tracks the last sign of life of each member and which members
 * this router monitors by heartbeat. Times are monotonic milliseconds.
 */
export class Membership {
  readonly #timeouts: FailureDetectorTimeouts
  readonly #members = new Map<string, MemberState>()

  constructor (timeouts: FailureDetectorTimeouts) {
    this.#timeouts = timeouts
  }

  /** Records a heartbeat sent by the member itself. It clears suspicions; a member that is sealed or leaving stays so. */
  recordHeartbeat (member: Member, now: number): void {
    const known = this.#members.get(member.incarnation)
    if (known?.isSealed === true) return
    const leaving = member.leaving || (known?.member.leaving ?? false)
    this.#members.set(member.incarnation, {
      member: { ...member, leaving },
      isMonitored: known?.isMonitored ?? false,
      lastSeenAt: now,
      suspectedUntil: -Infinity,
      journalWrites: known?.journalWrites ?? 0,
      isSealed: false
    })
  }

  /**
   * Updates and returns the members that this router has to monitor: those for which it is among the first
   * `monitorCount` live routers in rendezvous order. Each member thus always has that many live monitors.
   * The silence of a newly monitored member counts from `now`.
   */
  updateMonitored (self: string, monitorCount: number, now: number): Member[] {
    const monitors = [self, ...this.live(now).map((member) => member.incarnation)]
    const monitored: Member[] = []
    for (const [incarnation, state] of this.#members) {
      const order = hashing.rendezvousOrder(monitors.filter((monitor) => monitor !== incarnation), incarnation, (monitor) => monitor)
      const isMonitor = !state.isSealed && order.slice(0, monitorCount).includes(self)
      if (isMonitor && !state.isMonitored) state.lastSeenAt = now
      state.isMonitored = isMonitor
      if (isMonitor) monitored.push(state.member)
    }
    return monitored
  }

  /** Returns the members at a host that belong to a process other than the given one. */
  otherProcessesAt (host: string, process: string): Member[] {
    return this.#select((state) => state.member.host === host && state.member.process !== process)
  }

  /** Records the suspicions of another router. Each lasts `deadAfterMs`; unknown members are ignored. */
  recordSuspicions (incarnations: readonly string[], now: number): void {
    for (const incarnation of incarnations) {
      const known = this.#members.get(incarnation)
      if (known !== undefined) known.suspectedUntil = now + this.#timeouts.deadAfterMs
    }
  }

  /**
   * Records the write counter of a member's journal, and adds the member if it is unknown. An increase since an earlier
   * reading is a sign of life.
   */
  recordJournalWrites (member: Member, writes: number, now: number): void {
    const known = this.#members.get(member.incarnation)
    if (known === undefined) {
      this.#members.set(member.incarnation, { member, isMonitored: false, lastSeenAt: now, suspectedUntil: -Infinity, journalWrites: writes, isSealed: false })
      return
    }
    if (writes <= known.journalWrites) return
    const isFirstReading = known.journalWrites === 0
    known.journalWrites = writes
    if (!isFirstReading) known.lastSeenAt = now
  }

  /** Marks a member's journal as sealed. No list contains the member from then on, and its heartbeats are ignored. */
  markSealed (incarnation: string): void {
    const known = this.#members.get(incarnation)
    if (known !== undefined) known.isSealed = true
  }

  /** Removes a member whose journal is settled. */
  remove (incarnation: string): void {
    this.#members.delete(incarnation)
  }

  /** Returns a member, also if it is suspected or sealed. */
  get (incarnation: string): Member | undefined {
    return this.#members.get(incarnation)?.member
  }

  /** Returns all members whose journals are not sealed. */
  unsealed (): Member[] {
    return [...this.#members.values()].filter((state) => !state.isSealed).map((state) => state.member)
  }

  /** Returns the members that are neither suspected nor leaving. */
  live (now: number): Member[] {
    return this.#select((state) => !state.member.leaving && !this.#isSuspected(state, now))
  }

  /** Returns the monitored members that have been silent for longer than `suspectAfterMs`. */
  suspected (now: number): Member[] {
    return this.#select((state) => state.isMonitored && this.#isSuspected(state, now))
  }

  /** Returns the monitored members that have been silent for longer than `deadAfterMs`, so that their journals may be sealed. */
  dead (now: number): Member[] {
    return this.#select((state) => state.isMonitored && now - state.lastSeenAt > this.#timeouts.deadAfterMs)
  }

  /** Returns the time since a member's last sign of life, in milliseconds; infinite for an unknown member. */
  silenceMs (incarnation: string, now: number): number {
    return now - (this.#members.get(incarnation)?.lastSeenAt ?? -Infinity)
  }

  #isSuspected (state: MemberState, now: number): boolean {
    if (state.isMonitored) return now - state.lastSeenAt > this.#timeouts.suspectAfterMs
    return now < state.suspectedUntil
  }

  #select (matches: (state: MemberState) => boolean): Member[] {
    return [...this.#members.values()].filter((state) => !state.isSealed && matches(state)).map((state) => state.member)
  }
}

/**
 * Chooses an odd number of witnesses for a router's records, at most `wantedCount`, spread over as many availability
 * zones as possible. Returns none if no other router is live.
 */
export function chooseWitnesses (self: Member, live: readonly Member[], wantedCount: number): Member[] {
  const count = Math.min(wantedCount, live.length - (live.length + 1) % 2)
  const ordered = hashing.rendezvousOrder(live, self.incarnation, (member) => member.incarnation)
  const chosen: Member[] = []
  const zones = new Set([self.availabilityZone])
  for (const member of ordered) {
    if (chosen.length >= count) return chosen
    if (zones.has(member.availabilityZone)) continue
    zones.add(member.availabilityZone)
    chosen.push(member)
  }
  const others = ordered.filter((member) => !chosen.includes(member))
  return [...chosen, ...others].slice(0, Math.max(0, count))
}

/** Chooses up to `count` entry hosts for a client account by rendezvous hashing, in different availability zones where possible. */
export function chooseEntryHosts (account: string, members: readonly Member[], count: number): Member[] {
  const ordered = hashing.rendezvousOrder(members, account, (member) => member.host)
  const chosen: Member[] = []
  const zones = new Set<string>()
  for (const member of ordered) {
    if (zones.has(member.availabilityZone)) continue
    zones.add(member.availabilityZone)
    chosen.push(member)
  }
  const others = ordered.filter((member) => !chosen.includes(member))
  return [...chosen, ...others].slice(0, count)
}
