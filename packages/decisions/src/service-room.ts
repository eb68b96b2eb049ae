/** Share of a route's latency objective for which a request may wait for room, at its target and at the router each. */
const WAIT_SHARE = 0.125

/** Time in which another router's report loses most of its weight beside newer ones, in milliseconds. */
const REPORT_LIFETIME_MS = 1000

/** Time for which a refused request counts as one that comes back, in milliseconds. */
const RETURN_WINDOW_MS = 1000

/** Entries that a report names for a service; the others are one number. */
export const REPORTED_ACCOUNTS = 3

/** Share of the newest request in the average time in a slot. */
const NEWEST_SHARE = 0.05

const ASSUMED_SLOT_MS = 100

/** Largest part by which a retry-after delay is lengthened at random. */
const RETRY_JITTER_SHARE = 0.5

/** Requests of one account and rank in progress and waiting at one router. */
export interface AccountUse {
  account: string
  rank: number
  inProgress: number
  waiting: number
}

/** What one router uses of a service's room: its largest users by name, and the rest as numbers. */
export interface ServiceUse {
  service: string
  largest: AccountUse[]
  otherAccounts: number
  otherRequests: number
}

export interface ServiceUseReport {
  ageMs: number
  uses: readonly ServiceUse[]
}

/** A request that asks for room. `account` is empty if it belongs to none. */
export interface RoomRequest {
  service: string
  account: string
  rank: number
  objectiveMs: number
  /** Time until the caller's deadline, in milliseconds. */
  timeLeftMs: number
  /** Expected time from the start of the request to its first event or answer on an idle target, in milliseconds. */
  servingMs: number
}

/** The usable targets of a service: their slots, and the requests of all routers in flight at them. */
export interface ServiceLoad {
  slots: number
  requests: number
}

/** What a verdict rests on, for the log. */
export interface RoomGrounds {
  /** Requests of the account in progress in the whole fleet, and its fair part of the room. */
  inProgress: number
  fairPart: number
  /** Requests of the account that wait before this one at this router. */
  place: number
  expectedWaitMs: number
  /** Time after which room is expected, spread, for a caller that is not served, in milliseconds. */
  retryAfterMs: number
  /** Age of the oldest report of another router that was used, in milliseconds. */
  reportAgeMs: number
}

export type RoomVerdict =
  | { kind: 'go' }
  | { kind: 'wait', maximumMs: number, grounds: RoomGrounds }
  | { kind: 'refuse', grounds: RoomGrounds }

interface OwnUse extends AccountUse { service: string }

interface Demand { inProgress: number, waiting: number }

/** What the other routers use of a service together, as estimated from their reports. */
interface OthersUse {
  named: Map<string, AccountUse>
  /** Requests of each account that no report names. */
  unnamed: number[]
  requests: number
  ageMs: number
}

const NO_USE: OthersUse = { named: new Map(), unnamed: [], requests: 0, ageMs: 0 }

/**
 * Says of each request whether the service has room for it, by account and rank. A service is full for a request if those that are as urgent
 * or more would make it wait at its target for longer than an eighth of its objective. Then accounts share the room: each may have in progress
 * as much as a fair division among those that ask gives it (max-min), and what one leaves is lent to the others.
 */
export class ServiceRoom {
  readonly #own = new Map<string, OwnUse>()
  readonly #slotMs = new Map<string, number>()
  readonly #refusedAt = new Map<string, number[]>()
  #others = new Map<string, OthersUse>()

  /** Counts a request that is sent to a target. Call the returned function once, when it has ended. */
  start (service: string, account: string, rank: number): () => void {
    return this.#count(service, account, rank, 'inProgress')
  }

  /** Counts a request that waits for room. Call the returned function once, when it no longer waits. */
  wait (service: string, account: string, rank: number): () => void {
    return this.#count(service, account, rank, 'waiting')
  }

  /** Records how long a request was at a target, and the load of the service as it started, which tells the part that it waited there. */
  recordTime (service: string, milliseconds: number, load: ServiceLoad): void {
    const slotMs = milliseconds * Math.min(1, load.slots / Math.max(1, load.requests))
    const known = this.#slotMs.get(service) ?? ASSUMED_SLOT_MS
    this.#slotMs.set(service, known + (slotMs - known) * NEWEST_SHARE)
  }

  /**
   * Replaces what the other routers have last reported, one report of each. In a large fleet most reports are old, so the newer ones stand
   * for all, as a sample.
   */
  setReports (reports: readonly ServiceUseReport[]): void {
    this.#others = new Map()
    const weights = reports.map(({ ageMs }) => Math.exp(-ageMs / REPORT_LIFETIME_MS))
    const scale = reports.length / Math.max(Number.MIN_VALUE, weights.reduce((sum, weight) => sum + weight, 0))
    for (const [index, { ageMs, uses }] of reports.entries()) {
      for (const use of uses) this.#addReport(use, weights[index] * scale, ageMs)
    }
  }

  #addReport ({ service, largest, otherAccounts, otherRequests }: ServiceUse, weight: number, ageMs: number): void {
    const others = this.#others.get(service) ?? { named: new Map(), unnamed: [], requests: 0, ageMs: 0 }
    this.#others.set(service, others)
    others.ageMs = Math.max(others.ageMs, ageMs)
    others.requests += (largest.reduce((sum, use) => sum + use.inProgress, 0) + otherRequests) * weight
    for (const use of largest) {
      const key = `${use.rank} ${use.account}`
      const sum = others.named.get(key) ?? { ...use, inProgress: 0, waiting: 0 }
      others.named.set(key, sum)
      sum.inProgress += use.inProgress * weight
      sum.waiting += use.waiting * weight
    }
    // Accounts without a name may be the same ones at several routers, so that they count once, with their largest number.
    for (let account = 0; account < otherAccounts; account++) {
      others.unnamed[account] = Math.max(others.unnamed[account] ?? 0, otherRequests / otherAccounts * weight)
    }
  }

  /** Returns this router's use of the services that have at most half of their slots free, for the others. */
  reports (loadOf: (service: string) => ServiceLoad): ServiceUse[] {
    const services = new Set([...this.#own.values()].map(({ service }) => service))
    const busy = [...services].filter((service) => isBusy(this.#withReported(service, loadOf(service))))
    return busy.map((service) => this.report(service)).filter((use) => use !== undefined)
  }

  /** Returns the requests in progress and waiting of the accounts that have the most at this router. */
  largestAccounts (count: number): Record<string, number> {
    const sums = new Map<string, number>()
    for (const use of this.#own.values()) sums.set(use.account, (sums.get(use.account) ?? 0) + sizeOf(use))
    return Object.fromEntries([...sums].sort(([, left], [, right]) => right - left).slice(0, count))
  }

  /** Returns this router's use of a service for the others; undefined if it uses none of it. */
  report (service: string): ServiceUse | undefined {
    const uses = this.#ownUses(service).sort((left, right) => sizeOf(right) - sizeOf(left))
    if (uses.length === 0) return undefined
    const others = uses.slice(REPORTED_ACCOUNTS)
    return {
      service,
      largest: uses.slice(0, REPORTED_ACCOUNTS).map(({ account, rank, inProgress, waiting }) => ({ account, rank, inProgress, waiting })),
      otherAccounts: new Set(others.map(({ account }) => account)).size,
      otherRequests: others.reduce((sum, use) => sum + use.inProgress, 0)
    }
  }

  /** Returns what to do with a request now. `jitter` is from 0 to 1. A request that may have run already must not ask. */
  judge (request: RoomRequest, known: ServiceLoad, now: number, jitter: number): RoomVerdict {
    const load = this.#withReported(request.service, known)
    // Reports are a sample in a large fleet, and count requests at targets that take no new ones. The room that is known to be free decides.
    if (load.slots <= 0 || known.requests + 1 <= known.slots || !(request.objectiveMs > 0)) return { kind: 'go' }
    const { demands, lessUrgent, reportAgeMs } = this.#demands(request)
    const slotMs = Math.max(1, this.#slotMs.get(request.service) ?? ASSUMED_SLOT_MS)
    const patienceMs = request.objectiveMs * WAIT_SHARE
    const capacity = load.slots * (1 + patienceMs / slotMs)
    if (load.requests - lessUrgent + 1 <= capacity) return { kind: 'go' }
    const own = demands.get(request.account) ?? { inProgress: 0, waiting: 0 }
    demands.set(request.account, own)
    if (demands.size < 2) return { kind: 'go' }
    const fairPart = fairLevel([...demands.values()].map(({ inProgress, waiting }) => inProgress + waiting + 1), capacity)
    if (own.inProgress + 1 <= fairPart) return { kind: 'go' }
    const place = this.#waitingBefore(request)
    const expectedWaitMs = (own.inProgress + 1 - fairPart + place) * slotMs / fairPart
    const lately = this.#refusedLately(request, now)
    const returnMs = Math.max(patienceMs, expectedWaitMs + lately.length * slotMs / fairPart)
    const grounds = { inProgress: own.inProgress, fairPart, place, expectedWaitMs, reportAgeMs, retryAfterMs: returnMs * (1 + jitter * RETRY_JITTER_SHARE) }
    if (expectedWaitMs > patienceMs || expectedWaitMs + request.servingMs > request.timeLeftMs) {
      lately.push(now)
      return { kind: 'refuse', grounds }
    }
    return { kind: 'wait', maximumMs: Math.min(patienceMs, request.timeLeftMs - request.servingMs), grounds }
  }

  /** Returns the times at which requests of the account were refused lately, whose callers come back. */
  #refusedLately ({ service, account }: RoomRequest, now: number): number[] {
    const key = `${service} ${account}`
    const lately = (this.#refusedAt.get(key) ?? []).filter((at) => now - at < RETURN_WINDOW_MS)
    this.#refusedAt.set(key, lately)
    return lately
  }

  #waitingBefore ({ service, account, rank }: RoomRequest): number {
    return this.#ownUses(service).filter((use) => use.account === account && use.rank <= rank).reduce((sum, use) => sum + use.waiting, 0)
  }

  /** Returns what accounts have in the fleet at ranks as urgent as the request's or more, and how many requests are less urgent. */
  #demands ({ service, rank }: RoomRequest): { demands: Map<string, Demand>, lessUrgent: number, reportAgeMs: number } {
    const demands = new Map<string, Demand>()
    let lessUrgent = 0
    const others = this.#others.get(service) ?? NO_USE
    for (const use of [...this.#ownUses(service), ...others.named.values()]) {
      if (use.rank > rank) lessUrgent += use.inProgress
      else addDemand(demands, use)
    }
    for (const [index, inProgress] of others.unnamed.entries()) demands.set(`\n${index}`, { inProgress, waiting: 0 })
    return { demands, lessUrgent, reportAgeMs: others.ageMs }
  }

  /** Returns a load that is no less than what accounts have by the reports, which may be newer than what is known of the targets. */
  #withReported (service: string, load: ServiceLoad): ServiceLoad {
    const own = this.#ownUses(service).reduce((sum, use) => sum + use.inProgress, 0)
    return { slots: load.slots, requests: Math.max(load.requests, own + (this.#others.get(service)?.requests ?? 0)) }
  }

  #ownUses (service: string): OwnUse[] {
    return [...this.#own.values()].filter((use) => use.service === service)
  }

  #count (service: string, account: string, rank: number, kind: 'inProgress' | 'waiting'): () => void {
    const key = `${service} ${rank} ${account}`
    const use = this.#own.get(key) ?? { service, account, rank, inProgress: 0, waiting: 0 }
    this.#own.set(key, use)
    use[kind] += 1
    return () => {
      use[kind] -= 1
      if (sizeOf(use) === 0) this.#own.delete(key)
    }
  }
}

function addDemand (demands: Map<string, Demand>, { account, inProgress, waiting }: AccountUse): void {
  const known = demands.get(account) ?? { inProgress: 0, waiting: 0 }
  demands.set(account, { inProgress: known.inProgress + inProgress, waiting: known.waiting + waiting })
}

function isBusy ({ slots, requests }: ServiceLoad): boolean {
  return requests * 2 >= slots
}

function sizeOf ({ inProgress, waiting }: AccountUse): number {
  return inProgress + waiting
}

/** Returns the level up to which each demand is met if the capacity is divided max-min: Infinity if it meets all. */
export function fairLevel (demands: readonly number[], capacity: number): number {
  let left = capacity
  const ascending = [...demands].sort((first, second) => first - second)
  for (const [index, demand] of ascending.entries()) {
    const level = left / (ascending.length - index)
    if (demand > level) return level
    left -= demand
  }
  return Infinity
}
