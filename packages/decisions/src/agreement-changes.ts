import type * as types from './agreement-types.js'
import * as hashing from './hashing.js'
import type * as routeTables from './route-table.js'

/**
 * What has changed since some earlier versions of the agreement, for a router that still has one of them. A request is handled alike by that
 * version and by the newest one if neither its route nor its key is among the changes.
 */
export interface AgreementChanges {
  /** Versions since which the changes are complete. */
  sinceVersions: number[]
  /** Hashes of the changed routes and keys. */
  hashes: number[]
}

/** Most earlier versions and changes that are remembered, so that heartbeats stay small. */
const MAXIMUM_VERSIONS = 4
const MAXIMUM_CHANGES = 64

/** Fields of a route that decide how a request is handled, besides its shares. The others decide only how soon. */
const HANDLING_FIELDS = ['repetition', 'streaming', 'resumable', 'timeoutMs', 'maximumTargets', 'anonymous'] as const

/** Remembers what the latest versions of the agreement have changed. */
export class ChangeHistory {
  /** In ascending order of versions, so the first has all changes. */
  #earlier: Array<{ version: number, hashes: Set<number> }> = []

  /** Records that one agreement has replaced another. */
  record (previous: routeTables.RouteTable, next: routeTables.RouteTable): void {
    const changed = findChanges(previous, next)
    if (changed === undefined) {
      this.#earlier = []
      return
    }
    this.#earlier.push({ version: previous.agreement.version, hashes: new Set() })
    for (const { hashes } of this.#earlier) changed.forEach((hash) => hashes.add(hash))
    this.#earlier = this.#earlier.slice(-MAXIMUM_VERSIONS).filter(({ hashes }) => hashes.size <= MAXIMUM_CHANGES)
  }

  changes (): AgreementChanges {
    return { sinceVersions: this.#earlier.map(({ version }) => version), hashes: [...this.#earlier[0]?.hashes ?? []] }
  }
}

/** Returns true if a request on this route and with this key may be handled in another way since one of the versions of `sinceVersions`. */
export function isAffected (changes: AgreementChanges, route: types.Route, key: string | undefined): boolean {
  return changes.hashes.includes(hashOfRoute(route)) || (key !== undefined && changes.hashes.includes(hashOfKey(key)))
}

/**
 * Returns hashes of the routes and keys of the previous agreement whose requests the next one handles in another way; undefined if those may be
 * all requests. What the previous agreement does not have is left out, as a router that has it refuses such requests anyway.
 */
function findChanges (previous: routeTables.RouteTable, next: routeTables.RouteTable): number[] | undefined {
  if (!isSame(previous.agreement.limits, next.agreement.limits)) return undefined
  if ((previous.agreement.accounts === undefined) !== (next.agreement.accounts === undefined)) return undefined
  return [...changedRoutes(previous, next).map(hashOfRoute), ...changedKeys(previous, next).map(hashOfKey)]
}

function changedRoutes (previous: routeTables.RouteTable, next: routeTables.RouteTable): types.Route[] {
  const changedServices = new Set(previous.agreement.services.filter((service) => !isSame(service, next.service(service.name))).map(({ name }) => name))
  const successors = routesByArea(next)
  const predecessors = routesByArea(previous)
  const changed: types.Route[] = []
  for (const [area, route] of predecessors) {
    const successor = successors.get(area)
    if (successor === undefined || !isHandledAlike(route, successor) || route.shares.some(({ service }) => changedServices.has(service))) changed.push(route)
  }
  for (const [area, route] of successors) {
    // A new route takes requests from the one with a shorter prefix.
    const shadowed = predecessors.has(area) ? undefined : previous.match(route.host, route.pathPrefix)
    if (shadowed !== undefined) changed.push(shadowed)
  }
  return changed
}

/** Of two routes for the same requests, the first counts. */
function routesByArea ({ agreement }: routeTables.RouteTable): Map<string, types.Route> {
  const routes = new Map<string, types.Route>()
  for (const route of agreement.routes) {
    const area = areaOf(route)
    if (!routes.has(area)) routes.set(area, route)
  }
  return routes
}

function isHandledAlike (route: types.Route, successor: types.Route): boolean {
  if (HANDLING_FIELDS.some((field) => route[field] !== successor[field]) || route.shares.length !== successor.shares.length) return false
  return route.shares.every(({ service, weight }, index) => service === successor.shares[index].service && weight === successor.shares[index].weight)
}

function changedKeys (previous: routeTables.RouteTable, next: routeTables.RouteTable): string[] {
  return (previous.agreement.accounts ?? []).flatMap((account) => account.keys.filter((key) => !isKeptBy(next.accountOfKey(key), account)))
}

function isKeptBy (successor: types.Account | undefined, account: types.Account): boolean {
  return successor?.name === account.name && (successor.prepaidTokens ?? Infinity) >= (account.prepaidTokens ?? Infinity)
}

function isSame (left: unknown, right: unknown): boolean {
  return JSON.stringify(left) === JSON.stringify(right)
}

function areaOf ({ host, pathPrefix }: types.Route): string {
  return `${host} ${pathPrefix}`
}

function hashOfRoute (route: types.Route): number {
  return hashing.hashText(`route ${areaOf(route)}`)
}

function hashOfKey (key: string): number {
  return hashing.hashText(`key ${key}`)
}
