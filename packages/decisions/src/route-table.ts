import type * as types from './agreement-types.js'
import type * as random from './random.js'

/** Indexes one version of the agreement: routes by host and path, accounts by key and name, services by name. */
export class RouteTable {
  readonly agreement: types.Agreement
  /** Shortest latency objective of all routes, in milliseconds; undefined without routes. */
  readonly tightestObjectiveMs: number | undefined
  readonly #routesByHost = new Map<string, types.Route[]>()
  readonly #accountByKey = new Map<string, types.Account>()
  readonly #accountByName = new Map<string, types.Account>()
  readonly #serviceByName = new Map<string, types.Service>()

  constructor (agreement: types.Agreement) {
    this.agreement = agreement
    this.tightestObjectiveMs = agreement.routes.length === 0 ? undefined : Math.min(...agreement.routes.map(({ objectiveMs }) => objectiveMs))
    for (const route of agreement.routes) this.#routesOf(route.host).push(route)
    for (const routes of this.#routesByHost.values()) {
      routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
    }
    for (const service of agreement.services) this.#serviceByName.set(service.name, service)
    for (const account of agreement.accounts ?? []) {
      this.#accountByName.set(account.name, account)
      for (const key of account.keys) this.#accountByKey.set(key, account)
    }
  }

  /** Returns the route of the host with the longest path prefix that matches. */
  match (host: string, path: string): types.Route | undefined {
    return this.#routesByHost.get(host)?.find((route) => path.startsWith(route.pathPrefix))
  }

  accountOfKey (key: string): types.Account | undefined {
    return this.#accountByKey.get(key)
  }

  account (name: string): types.Account | undefined {
    return this.#accountByName.get(name)
  }

  service (name: string): types.Service | undefined {
    return this.#serviceByName.get(name)
  }

  #routesOf (host: string): types.Route[] {
    let routes = this.#routesByHost.get(host)
    if (routes === undefined) {
      routes = []
      this.#routesByHost.set(host, routes)
    }
    return routes
  }
}

/** Picks one of the route's services at random, in proportion to their weights. Falls back to the first if all weights are 0. */
export function pickService (route: types.Route, source: random.RandomSource): string {
  const total = route.shares.reduce((sum, share) => sum + share.weight, 0)
  let remaining = source.integer(Math.max(1, total))
  for (const share of route.shares) {
    remaining -= share.weight
    if (remaining < 0) return share.service
  }
  return route.shares[0].service
}
