/** Share of the tightest latency objective that requests wait to be read at which a host has no time for more connections. */
const SATURATED_SHARE = 0.2

/** Read delay at which a host without objectives has no time for more connections, in milliseconds. */
const DEFAULT_SATURATED_MS = 100

/** Time for which requests have to be read late without a gap before the first pause, in milliseconds. A single step may hold up an idle host. */
const PATIENCE_MS = 100

/** Most that one read delay counts, as a multiple of the threshold, so that a single long one is soon forgotten. */
const COUNTED_THRESHOLDS = 4

/** Shortest and longest time for which no connections are taken, in milliseconds. A caller's second try, a moment later, should find the host open. */
const MINIMUM_PAUSE_MS = 50
const MAXIMUM_PAUSE_MS = 100

/** Factor by which a pause is longer than the one before it, if the host is saturated as soon as connections are taken again. */
const PAUSE_GROWTH = 1.5

/** Shortest time from the first connection that is taken after a pause to the next pause, in milliseconds. */
const MINIMUM_OPEN_MS = 50

/** Time without a pause after which the next one is short again, in milliseconds. */
const RECOVERY_MS = 500

/** Time without a pause after which a saturation has ended, in milliseconds. */
const END_MS = 1000

/** Mean load of the other hosts up to which they have room for callers that are turned away here. */
const MAXIMUM_OTHERS_LOAD = 0.7

/** Time for which the others' loads are taken as read before they are looked up again, in milliseconds. */
const LOOK_UP_INTERVAL_MS = 100

/** Processor load of a host that takes connections, as it has told lately. */
export interface OtherHost {
  load: number
  /** Processor time that the host may use, as a multiple of one core. */
  processorShare: number
  availabilityZone: string
}

export interface ConnectionAdmissionOptions {
  availabilityZone: string
  /** Tightest latency objective of what callers may ask for, in milliseconds; undefined if there is none. */
  objectiveMs: () => number | undefined
  /** Processor load of this host. */
  ownLoad: () => number
  /** Other hosts that take connections now. */
  others: () => readonly OtherHost[]
}

/** A time in which the host takes no connections for moments. */
export interface Saturation {
  /** Time for which the last request before the first pause had waited to be read, in milliseconds. */
  readDelayMs: number
  /** Mean load of the other hosts. */
  othersLoad: number
  pauses: number
  /** Time for which no connections were taken, in milliseconds. */
  pausedMs: number
  startedAt: number
}

/**
 * Decides when a host that has too little processor time takes no new connections for a moment. Answers the load pattern of callers that keep
 * to one of many hosts: their requests wait there unread until nobody waits for the answer, while the others idle. A connection that is refused costs
 * that host no time, and its caller knows at once. Times are monotonic milliseconds.
 */
export class ConnectionAdmission {
  readonly #options: ConnectionAdmissionOptions
  /** Mean of the latest read delays by the time that they cover. */
  #readDelayMs = 0
  #measuredAt = -Infinity
  #lateSince: number | undefined
  #pauseMs = 0
  /** Time at which the last pause was to end. */
  #pausedUntil = -Infinity
  /** Time at which the first connection since the last pause was taken; undefined before. A slow host takes the next one later than it opens its port. */
  #takenAt: number | undefined = -Infinity
  #lookedUpAt = -Infinity
  #othersLoad: number | undefined
  #saturation: Saturation | undefined

  constructor (options: ConnectionAdmissionOptions) {
    this.#options = options
  }

  /** The saturation in progress; undefined if there is none. */
  get saturation (): Saturation | undefined {
    return this.#saturation
  }

  /**
   * Takes the time for which a request has waited to be read. Returns the time for which no connections shall be taken from now on, in milliseconds;
   * 0 if they are taken.
   */
  recordReadDelay (readDelayMs: number, now: number): number {
    this.#smooth(readDelayMs, now)
    if (this.#readDelayMs < this.#saturatedMs()) {
      this.#lateSince = undefined
      return 0
    }
    this.#lateSince ??= now
    if (this.#takenAt === undefined || now < this.#takenAt + MINIMUM_OPEN_MS) return 0
    if (this.#saturation === undefined && now < this.#lateSince + PATIENCE_MS) return 0
    const othersLoad = this.#lookUpOthers(now)
    if (othersLoad === undefined || othersLoad > MAXIMUM_OTHERS_LOAD || othersLoad >= this.#options.ownLoad()) return 0
    return this.#pause({ readDelayMs, othersLoad }, now)
  }

  /** Call it for each new connection that is taken after a pause has begun. */
  recordConnection (now: number): void {
    this.#takenAt ??= now
  }

  /** Returns the saturation that has ended by now, once; undefined if there is none. */
  takeEnded (now: number): Saturation | undefined {
    const ended = this.#saturation
    if (ended === undefined || now < this.#pausedUntil + END_MS) return undefined
    this.#saturation = undefined
    return ended
  }

  #saturatedMs (): number {
    const objectiveMs = this.#options.objectiveMs()
    return objectiveMs === undefined ? DEFAULT_SATURATED_MS : objectiveMs * SATURATED_SHARE
  }

  #smooth (readDelayMs: number, now: number): void {
    const saturatedMs = this.#saturatedMs()
    const weight = 1 - Math.exp(-(now - this.#measuredAt) / saturatedMs)
    this.#measuredAt = now
    this.#readDelayMs += weight * (Math.min(readDelayMs, COUNTED_THRESHOLDS * saturatedMs) - this.#readDelayMs)
  }

  #pause (cause: Pick<Saturation, 'readDelayMs' | 'othersLoad'>, now: number): number {
    this.#pauseMs = now - this.#pausedUntil < RECOVERY_MS ? Math.min(MAXIMUM_PAUSE_MS, this.#pauseMs * PAUSE_GROWTH) : MINIMUM_PAUSE_MS
    this.#pausedUntil = now + this.#pauseMs
    this.#takenAt = undefined
    this.#saturation ??= { ...cause, pauses: 0, pausedMs: 0, startedAt: now }
    this.#saturation.pauses += 1
    this.#saturation.pausedMs += this.#pauseMs
    return this.#pauseMs
  }

  /** Returns the mean load of the others, or of those in the host's zone if that is higher, as callers are led there first; undefined if there are none. */
  #lookUpOthers (now: number): number | undefined {
    if (now - this.#lookedUpAt < LOOK_UP_INTERVAL_MS) return this.#othersLoad
    this.#lookedUpAt = now
    const others = this.#options.others()
    const near = others.filter(({ availabilityZone }) => availabilityZone === this.#options.availabilityZone)
    this.#othersLoad = others.length === 0 ? undefined : Math.max(meanLoad(others), meanLoad(near))
    return this.#othersLoad
  }
}

/** Returns the load of hosts by their processor time; 0 without hosts. */
function meanLoad (hosts: readonly OtherHost[]): number {
  const share = hosts.reduce((sum, { processorShare }) => sum + processorShare, 0)
  return share === 0 ? 0 : hosts.reduce((sum, { load, processorShare }) => sum + load * processorShare, 0) / share
}
