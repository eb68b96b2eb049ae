import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import type * as routers from '@acaciaweir/routers'

/** Time for which callers may cache the directory's answer, in seconds, unless the settings demand less. */
const DIRECTORY_LIFETIME_SECONDS = 2

const MAXIMUM_ADDRESSES = 64

/** Gateways that must serve in the caller's availability zone for the answer to leave out the other zones. */
const MINIMUM_LOCAL_GATEWAYS = 2

/** Mean load up to which the gateways of a zone keep its callers. Above it, they do so only if the fleet's mean load is as high. */
const MAXIMUM_LOCAL_LOAD = 0.45

export interface EntryServerOptions {
  /** Gateways that accept callers, including this one. */
  servingGateways: () => routers.gatewayMessages.GatewayMember[]
  isReady: () => boolean
  maximumLifetimeSeconds: number
}

/** Serves the directory, from which callers learn gateway addresses, and the platform's readiness probe. */
export class EntryServer {
  readonly #options: EntryServerOptions
  readonly #directory: runtime.httpServer.HttpServer
  readonly #readiness: runtime.httpServer.HttpServer

  constructor (options: EntryServerOptions) {
    this.#options = options
    this.#directory = new runtime.httpServer.HttpServer(async (message, response) => {
      const question = adapter.entryCalls.decodeDirectoryQuery(message)
      if (question === undefined) {
        runtime.httpServer.sendJson(response, 404, { title: 'there is nothing at this address' })
        return
      }
      const addresses = this.#addressesFor(question.availabilityZone)
      const lifetimeSeconds = Math.min(DIRECTORY_LIFETIME_SECONDS, options.maximumLifetimeSeconds)
      runtime.httpServer.sendJson(response, addresses.length > 0 ? 200 : 503, adapter.entryCalls.encodeDirectoryResponse(addresses, lifetimeSeconds))
    })
    this.#readiness = new runtime.httpServer.HttpServer(async (message, response) => {
      const isKnownPath = adapter.entryCalls.isReadinessCheck(message)
      runtime.httpServer.sendJson(response, !isKnownPath ? 404 : options.isReady() ? 200 : 503, {})
    })
  }

  async listen (directory: runtime.httpServer.ListenAddress, readiness: runtime.httpServer.ListenAddress): Promise<void> {
    await this.#directory.listen(directory.port, directory.address)
    await this.#readiness.listen(readiness.port, readiness.address)
  }

  close (): void {
    this.#directory.closeNow()
    this.#readiness.closeNow()
  }

  /** Returns gateways of the caller's availability zone if it has enough of them with spare capacity, else of all zones. */
  #addressesFor (availabilityZone: string): string[] {
    const serving = this.#options.servingGateways()
    const local = serving.filter((member) => member.availabilityZone === availabilityZone)
    const keepsLocal = local.length >= MINIMUM_LOCAL_GATEWAYS && meanLoad(local) <= Math.max(MAXIMUM_LOCAL_LOAD, meanLoad(serving))
    const selected = keepsLocal ? local : leastLoadedFirst(serving)
    return selected.slice(0, MAXIMUM_ADDRESSES).map((member) => member.callerAddress)
  }
}

function meanLoad (members: readonly routers.gatewayMessages.GatewayMember[]): number {
  return members.reduce((sum, member) => sum + member.load, 0) / Math.max(1, members.length)
}

/** Sorts by load, so that a list cut at MAXIMUM_ADDRESSES leaves out the busiest gateways. */
function leastLoadedFirst (members: readonly routers.gatewayMessages.GatewayMember[]): routers.gatewayMessages.GatewayMember[] {
  return [...members].sort((left, right) => left.load - right.load)
}
