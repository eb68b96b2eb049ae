import type * as decisions from '@acaciaweir/decisions'
import * as standIns from '@acaciaweir/stand-ins'
import * as fleets from './soak-fleet.js'

/** One request with its answer. */
export interface SoakRequest {
  attemptId: string
  path: string
  repeatable: boolean
  streamed: boolean
  host: string
  /** The gateway was terminated or paused when the request was sent or when its answer came. */
  wasHostDisturbed: boolean
  sentAt: number
  answer: standIns.callerClient.CallerAnswer
}

const requestKinds = [
  { path: '/order/', repeatable: false, streamed: false },
  { path: '/stock/', repeatable: true, streamed: false },
  { path: '/plan/', repeatable: false, streamed: true },
  { path: '/reply/', repeatable: true, streamed: true }
]

/** Each caller has at most one request in progress. */
const CONCURRENT_CALLERS = 12

/** Remaining time that callers state in their requests. */
const REQUEST_DEADLINE_MS = 2500

/** Concurrent callers that send random requests to random gateways. */
export class SoakCallers {
  readonly requests: SoakRequest[] = []
  readonly #fleet: fleets.SoakFleet
  readonly #random: decisions.random.RandomSource
  #sentRequests = 0

  constructor (fleet: fleets.SoakFleet, random: decisions.random.RandomSource) {
    this.#fleet = fleet
    this.#random = random
  }

  /** Sends requests for the given time and resolves when the last one has ended. */
  async run (milliseconds: number): Promise<void> {
    const end = performance.now() + milliseconds
    await Promise.all(Array.from({ length: CONCURRENT_CALLERS }, async () => {
      while (performance.now() < end) {
        await fleets.sleep(5 + this.#random.integer(40))
        await this.send(this.#random.integer(this.#fleet.hosts.length))
      }
    }))
  }

  /** Sends one request of a random kind and client account to a gateway, and records it. */
  async send (hostIndex: number): Promise<SoakRequest> {
    const kind = requestKinds[this.#random.integer(requestKinds.length)]
    const host = this.#fleet.hosts[hostIndex]
    const accounts = this.#fleet.platform.accounts
    const account = accounts[this.#random.integer(accounts.length)]
    this.#sentRequests += 1
    const attemptId = `attempt-${this.#sentRequests}`
    const path = `${kind.path}${this.#sentRequests}`
    const headers = standIns.callerClient.callerHeaders({
      host: standIns.platformStandIn.ROUTE_HOST,
      attemptId,
      apiKey: account.apiKey,
      remainingMs: REQUEST_DEADLINE_MS,
      model: kind.streamed ? { promptTokens: 90, outputTokens: 10, session: `a${this.#random.integer(6)}` } : undefined
    })
    const sentAt = performance.now()
    const wasDisturbedAtStart = host.isDisturbed
    const answer = await standIns.callerClient.send(host.callerAddress, path, headers, kind.path === '/order/' ? 'order' : '')
    const request = { ...kind, path, attemptId, host: host.name, wasHostDisturbed: wasDisturbedAtStart || host.isDisturbed, sentAt, answer }
    this.requests.push(request)
    return request
  }
}
