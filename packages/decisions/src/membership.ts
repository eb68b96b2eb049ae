import * as hashing from './hashing.js'

/** What a router tells the others about itself. */
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

/** Bounds of the failure detector, in milliseconds. */
export interface MembershipPolicy {
  /** Silence after which a member gets no new work. */
  suspectAfterMs: number
  /** Silence after which a member's journal may be sealed. */
  deadAfterMs: number
}

interface MemberState {
  member: Member
  /** True while this router sends the member heartbeats; only then does its silence mean anything. */
  monitored: boolean
  heardAt: number
  /** Until when another router's suspicion of a member that is not monitored here counts. */
  suspectedUntil: number
  journalWrites: number
  ended: boolean
}

/** The routers that this router knows, with the time at which each showed a sign of life. */
export class Membership {
  readonly #policy: MembershipPolicy
  readonly #members = new Map<string, MemberState>()

  constructor (policy: MembershipPolicy) {
    this.#policy = policy
  }

  /** Notes a message that came from the member itself. */
  heard (member: Member, now: number): void {
    const known = this.#members.get(member.incarnation)
    if (known?.ended === true) return
    const leaving = member.leaving || (known?.member.leaving ?? false)
    this.#members.set(member.incarnation, {
      member: { ...member, leaving },
      monitored: known?.monitored ?? false,
      heardAt: now,
      suspectedUntil: -Infinity,
      journalWrites: known?.journalWrites ?? 0,
      ended: false
    })
  }

  /**
   * Chooses the members that this router has to watch: those for which it is among the first `watcherCount` live routers
   * in rendezvous order. So each member always has that many live watchers.
   */
  watch (self: string, watcherCount: number, now: number): Member[] {
    const watchers = [self, ...this.live(now).map((member) => member.incarnation)]
    const watched: Member[] = []
    for (const [incarnation, state] of this.#members) {
      const order = hashing.rendezvousOrder(watchers.filter((watcher) => watcher !== incarnation), incarnation, (watcher) => watcher)
      const own = !state.ended && order.slice(0, watcherCount).includes(self)
      if (own && !state.monitored) state.heardAt = now
      state.monitored = own
      if (own) watched.push(state.member)
    }
    return watched
  }

  /** Members at a host that belong to another process than the given one. */
  othersAt (host: string, process: string): Member[] {
    return this.#select((state) => state.member.host === host && state.member.process !== process)
  }

  /** Notes members that another router suspects. */
  suspectedElsewhere (incarnations: readonly string[], now: number): void {
    for (const incarnation of incarnations) {
      const known = this.#members.get(incarnation)
      if (known !== undefined) known.suspectedUntil = now + this.#policy.deadAfterMs
    }
  }

  /** Notes a member's journal; a write counter raised since the last reading is a sign of life. */
  journalSeen (member: Member, writes: number, now: number): void {
    const known = this.#members.get(member.incarnation)
    if (known === undefined) {
      this.#members.set(member.incarnation, { member, monitored: false, heardAt: now, suspectedUntil: -Infinity, journalWrites: writes, ended: false })
      return
    }
    if (writes <= known.journalWrites) return
    const firstReading = known.journalWrites === 0
    known.journalWrites = writes
    if (!firstReading) known.heardAt = now
  }

  /** Notes that a member's journal is sealed, so that it takes part no more. */
  ended (incarnation: string): void {
    const known = this.#members.get(incarnation)
    if (known !== undefined) known.ended = true
  }

  /** Forgets a member whose journal has been settled. */
  forget (incarnation: string): void {
    this.#members.delete(incarnation)
  }

  /** A known member, also a silent one. */
  get (incarnation: string): Member | undefined {
    return this.#members.get(incarnation)?.member
  }

  /** All members whose journals are not sealed. */
  known (): Member[] {
    return [...this.#members.values()].filter((state) => !state.ended).map((state) => state.member)
  }

  /** Members not suspected and not leaving. */
  live (now: number): Member[] {
    return this.#select((state) => !state.member.leaving && !this.#isSuspected(state, now))
  }

  /** Members that have missed heartbeats of this router. */
  silent (now: number): Member[] {
    return this.#select((state) => state.monitored && this.#isSuspected(state, now))
  }

  /** Members silent for so long that their journals may be sealed. */
  dead (now: number): Member[] {
    return this.#select((state) => state.monitored && now - state.heardAt > this.#policy.deadAfterMs)
  }

  /** Time since a member's last sign of life, in milliseconds. */
  silenceMs (incarnation: string, now: number): number {
    return now - (this.#members.get(incarnation)?.heardAt ?? -Infinity)
  }

  #isSuspected (state: MemberState, now: number): boolean {
    if (state.monitored) return now - state.heardAt > this.#policy.suspectAfterMs
    return now < state.suspectedUntil
  }

  #select (isChosen: (state: MemberState) => boolean): Member[] {
    return [...this.#members.values()].filter((state) => !state.ended && isChosen(state)).map((state) => state.member)
  }
}

/**
 * Chooses an odd number of witnesses, in as many availability zones as there are.
 * Returns none where no other router is live.
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

/** The entry hosts that a client account should use: few, in different availability zones. */
export function steer (account: string, members: readonly Member[], count: number): Member[] {
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
