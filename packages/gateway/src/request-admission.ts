import * as decisions from '@acaciaweir/decisions'
import * as adapter from '@acaciaweir/platform-adapter'
import type * as http from 'node:http'
import * as answers from './answers.js'
import type * as calls from './call.js'

/** Time before the caller's deadline at which the gateway sends its final answer, in milliseconds. */
export const DEADLINE_MARGIN_MS = 30

/** Greatest age of the agreement at which the gateway refuses an unknown route or key for good, in milliseconds. */
const MAXIMUM_AUTHORITATIVE_AGE_MS = 3500

/** Retry-after delay while the gateway has no agreement, or one too old to refuse for good, in milliseconds. */
const NOT_READY_RETRY_AFTER_MS = 500

/** Refusal of a request that a newer agreement, which is not in force here yet, may handle in another way. */
const OUTDATED_REFUSAL: calls.Refusal = { status: 503, reason: 'a newer agreement is being fetched', retryAfterMs: NOT_READY_RETRY_AFTER_MS }

export interface RequestAdmissionOptions {
  routeTable: () => decisions.routeTable.RouteTable | undefined
  /** Time since the agreement was last confirmed, in milliseconds. */
  agreementAgeMs: () => number
  /** Returns true if a newer agreement is known to be in force elsewhere and could not be fetched in time. */
  isAgreementOutdated: () => boolean
  isRequestOutdated: (route: decisions.agreementTypes.Route | undefined, key: string | undefined) => boolean
}

/** A request that the agreement in force allows. */
export interface AdmittedRequest {
  request: adapter.callerRequest.CallerRequest
  route: decisions.agreementTypes.Route
  account: decisions.agreementTypes.Account | undefined
  limits: decisions.agreementTypes.CallerLimits
  version: number
}

/** Admits requests by the agreement in force. */
export class RequestAdmission {
  readonly #options: RequestAdmissionOptions

  constructor (options: RequestAdmissionOptions) {
    this.#options = options
  }

  admit (message: http.IncomingMessage): AdmittedRequest | calls.Refusal {
    const table = this.#options.routeTable()
    if (table === undefined) return { status: 503, reason: 'no agreement is known yet', retryAfterMs: NOT_READY_RETRY_AFTER_MS }
    if (this.#options.isAgreementOutdated()) return OUTDATED_REFUSAL
    if (headerSizeBytes(message) > table.agreement.limits.headerBytes) return { status: 431, reason: 'the headers are too large' }
    let request: adapter.callerRequest.CallerRequest
    try {
      request = adapter.callerRequest.decodeCallerRequest(message)
    } catch (error) {
      return { status: 400, reason: (error as Error).message }
    }
    return this.#admitDecoded(request, table)
  }

  #admitDecoded (request: adapter.callerRequest.CallerRequest, table: decisions.routeTable.RouteTable): AdmittedRequest | calls.Refusal {
    const route = table.match(request.host, request.pathAndQuery)
    if (this.#options.isRequestOutdated(route, request.apiKey)) return OUTDATED_REFUSAL
    if (route === undefined) return this.#refusalOfUnknown(404, 'no route matches')
    const account = request.apiKey === undefined ? undefined : table.accountOfKey(request.apiKey)
    if (table.agreement.accounts !== undefined && !route.anonymous && account === undefined) return this.#refusalOfUnknown(401, 'the key is unknown')
    if (route.streaming && account?.prepaidTokens !== undefined && request.promptTokens === undefined) {
      return { status: 400, reason: 'a model request needs its token counts' }
    }
    if (request.remainingMs !== undefined && request.remainingMs <= DEADLINE_MARGIN_MS) return answers.DEADLINE_REFUSAL
    return { request, route, account, limits: table.agreement.limits, version: table.agreement.version }
  }

  /** Returns a refusal for good only while the agreement is fresh: a newer one may contain the route or key that an old one lacks. */
  #refusalOfUnknown (status: number, reason: string): calls.Refusal {
    if (this.#options.agreementAgeMs() <= MAXIMUM_AUTHORITATIVE_AGE_MS) return { status, reason }
    return { status: 503, reason: `${reason} as far as known; the store has been out of reach`, retryAfterMs: NOT_READY_RETRY_AFTER_MS }
  }
}

/** Returns the size of the headers on the wire, including separators and line ends. */
function headerSizeBytes (message: http.IncomingMessage): number {
  return message.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
}
