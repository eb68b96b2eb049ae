import type * as boards from './target-board.js'

/** Times assumed of a service without recent requests, in milliseconds. */
const ASSUMED_READING_MS = 150
const ASSUMED_RESIDUAL_MS = 900

/** Share of the newest request in the averages of a service's times. */
const NEWEST_SHARE = 0.02

/** Work in flight as it is believed to be. */
export interface EstimatedWork extends boards.WorkInFlight {
  /** Standard deviation of the number of requests. */
  requestsDeviation: number
}

/** Time constants with which what is known of the work in flight grows old, in milliseconds. */
export interface WorkLifetimes {
  /** Mean time that a request which is in flight stays so. */
  residualMs: number
  /** Mean time until the prompt of a request is read. */
  readingMs: number
}

/** A router's last report of its work in flight. */
export interface WorkReport {
  ageMs: number
  work: ReadonlyArray<boards.WorkInFlight & { id: string }>
}

/** Times of a service's requests as this router has seen them, averaged with exponential weights. */
export class ServiceTimes {
  readonly #averages = new Map<string, { readingMs: number, totalMs: number, squaredMs: number }>()

  /** Records the times until the first event and until the end of a request that was sent to a target. */
  record (service: string, readingMs: number, totalMs: number): void {
    const known = this.#averages.get(service) ?? { readingMs: ASSUMED_READING_MS, totalMs: ASSUMED_RESIDUAL_MS, squaredMs: 2 * ASSUMED_RESIDUAL_MS ** 2 }
    const average = (old: number, newest: number): number => old + (newest - old) * NEWEST_SHARE
    this.#averages.set(service, { readingMs: average(known.readingMs, readingMs), totalMs: average(known.totalMs, totalMs), squaredMs: average(known.squaredMs, totalMs ** 2) })
  }

  /** Returns the times that the service's requests in flight have left. A long request is found in flight more often than a short one. */
  lifetimes (service: string): WorkLifetimes {
    const known = this.#averages.get(service)
    if (known === undefined) return { residualMs: ASSUMED_RESIDUAL_MS, readingMs: ASSUMED_READING_MS }
    return { residualMs: Math.max(1, known.squaredMs / (2 * known.totalMs)), readingMs: Math.max(1, known.readingMs) }
  }
}

/**
 * Estimates the work of other routers now, by target, from their last reports. As a report ages, the part of its work that has ended since
 * is replaced by as much work spread evenly over the targets of the service: its router has sent new requests, and nobody knows where to.
 * Unlike an old report taken as it is, this does not make all routers avoid the same busy targets and meet at the same idle ones. The requests
 * that are spread fall on a target like events of a Poisson process, which gives the deviation.
 */
export function estimateWork (reports: Iterable<WorkReport>, serviceOfTarget: ReadonlyMap<string, string>, lifetimesOf: (service: string) => WorkLifetimes): Map<string, EstimatedWork> {
  const services = new Map<string, { targets: number, lifetimes: WorkLifetimes, spread: boards.WorkInFlight, variance: number }>()
  for (const service of serviceOfTarget.values()) {
    const known = services.get(service)
    if (known === undefined) services.set(service, { targets: 1, lifetimes: lifetimesOf(service), spread: { requests: 0, unreadTokens: 0 }, variance: 0 })
    else known.targets += 1
  }
  const remaining = new Map<string, boards.WorkInFlight>()
  for (const { ageMs, work } of reports) {
    for (const { id, requests, unreadTokens } of work) {
      const service = services.get(serviceOfTarget.get(id) ?? '')
      if (service === undefined) continue
      const inFlightShare = Math.exp(-ageMs / service.lifetimes.residualMs)
      const unreadShare = Math.exp(-ageMs / service.lifetimes.readingMs)
      const sum = remaining.get(id) ?? { requests: 0, unreadTokens: 0 }
      remaining.set(id, { requests: sum.requests + requests * inFlightShare, unreadTokens: sum.unreadTokens + unreadTokens * unreadShare })
      service.spread.requests += requests * (1 - inFlightShare)
      service.variance += requests * (1 - inFlightShare ** 2)
      service.spread.unreadTokens += unreadTokens * (1 - unreadShare)
    }
  }
  const estimate = new Map<string, EstimatedWork>()
  for (const [id, name] of serviceOfTarget) {
    const service = services.get(name)
    if (service === undefined) continue
    const known = remaining.get(id) ?? { requests: 0, unreadTokens: 0 }
    estimate.set(id, {
      requests: known.requests + service.spread.requests / service.targets,
      unreadTokens: known.unreadTokens + service.spread.unreadTokens / service.targets,
      requestsDeviation: Math.sqrt(service.variance / service.targets)
    })
  }
  return estimate
}
