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
  /** The host was told to end or stood still at some time during the request. */
  hostDisturbed: boolean
  sentAt: number
  answer: standIns.publishedCaller.CallerAnswer
}

/** Kinds of requests that callers send. */
const kinds = [
  { path: '/order/', repeatable: false, streamed: false },
  { path: '/stock/', repeatable: true, streamed: false },
  { path: '/plan/', repeatable: false, streamed: true },
  { path: '/reply/', repeatable: true, streamed: true }
]

/** Requests that each caller has in progress at once. */
const CALLERS = 12

/** Time for which callers wait, in milliseconds. */
const WAIT_MS = 2500

/** Sends random requests to random gateways for a time. */
export class SoakCallers {
  readonly requests: SoakRequest[] = []
  readonly #fleet: fleets.SoakFleet
  readonly #random: decisions.random.RandomSource
  #sent = 0

  constructor (fleet: fleets.SoakFleet, random: decisions.random.RandomSource) {
    this.#fleet = fleet
    this.#random = random
  }

  async run (milliseconds: number): Promise<void> {
    const end = performance.now() + milliseconds
    await Promise.all(Array.from({ length: CALLERS }, async () => {
      while (performance.now() < end) {
        await fleets.pause(5 + this.#random.integer(40))
        await this.send(this.#random.integer(this.#fleet.hosts.length))
      }
    }))
  }

  /** Sends one random request to a gateway. */
  async send (hostIndex: number): Promise<SoakRequest> {
    const kind = kinds[this.#random.integer(kinds.length)]
    const host = this.#fleet.hosts[hostIndex]
    const accounts = this.#fleet.platform.accounts
    const account = accounts[this.#random.integer(accounts.length)]
    this.#sent += 1
    const attemptId = `attempt-${this.#sent}`
    const path = `${kind.path}${this.#sent}`
    const headers = standIns.publishedCaller.callerHeaders({
      host: standIns.publishedPlatform.HOST,
      attemptId,
      key: account.key,
      waitsMs: WAIT_MS,
      model: kind.streamed ? { promptTokens: 90, outputTokens: 10, session: `a${this.#random.integer(6)}` } : undefined
    })
    const sentAt = performance.now()
    const before = host.disturbed
    const answer = await standIns.publishedCaller.send(host.callerAddress, path, headers, kind.path === '/order/' ? 'order' : '')
    const request = { ...kind, path, attemptId, host: host.name, hostDisturbed: before || host.disturbed, sentAt, answer }
    this.requests.push(request)
    return request
  }
}
