import * as callers from './caller.mjs'
import * as deployments from './deployment.mjs'

/** Key of the only client account of the cases. */
export const API_KEY = 'key-depot'

/** Sends requests of one client account to the gateways of a deployment. */
export class Requests {
  #deployment
  #record

  constructor (deployment, record) {
    this.#deployment = deployment
    this.#record = record
  }

  /** Sends a request to the gateway of that index. `options`: path, and optionally model, remainingMs, body, agent and patienceMs. */
  send (index, { path, model, remainingMs = 15_000, body = '', agent = false, patienceMs }) {
    const headers = callers.headers({ host: deployments.ROUTE_HOST, attemptId: this.#deployment.nextAttemptId(), apiKey: API_KEY, remainingMs, model })
    return new callers.CallerRequest({ address: this.#deployment.gateways[index].callerAddress, path, headers, body, agent, patienceMs }, this.#record)
  }
}
