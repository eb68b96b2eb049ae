import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import type * as routers from '@acaciaweir/routers'

/** How long callers may keep the directory's answer, in seconds, where the settings allow as much. */
const ANSWER_LIFETIME_SECONDS = 2

/** Addresses told to one caller. */
const MOST_ADDRESSES = 64

/** Gateways of the caller's own availability zone from which on no other is told. */
const ENOUGH_LOCAL_GATEWAYS = 2

/** Mean load of a zone's gateways up to which their callers are kept in the zone. */
const LOCAL_LOAD_LIMIT = 0.45

/** What answering callers' questions needs. */
export interface EntryServerOptions {
  /** Gateways that take callers, this one included. */
  serving: () => routers.gatewayMessages.GatewayMember[]
  ready: () => boolean
  mostSeconds: number
}

/** Tells callers where to connect, and the platform whether this gateway is ready. */
export class EntryServer {
  readonly #options: EntryServerOptions
  readonly #directory: runtime.httpServer.HttpServer
  readonly #readiness: runtime.httpServer.HttpServer

  constructor (options: EntryServerOptions) {
    this.#options = options
    this.#directory = new runtime.httpServer.HttpServer(async (message, response) => {
      const question = adapter.entryCalls.decodeDirectoryQuestion(message)
      if (question === undefined) {
        runtime.httpServer.sendJson(response, 404, { title: 'there is nothing at this address' })
        return
      }
      const addresses = this.#addressesFor(question.availabilityZone)
      const seconds = Math.min(ANSWER_LIFETIME_SECONDS, options.mostSeconds)
      runtime.httpServer.sendJson(response, addresses.length > 0 ? 200 : 503, adapter.entryCalls.encodeDirectoryAnswer(addresses, seconds))
    })
    this.#readiness = new runtime.httpServer.HttpServer(async (message, response) => {
      const known = adapter.entryCalls.isReadyQuestion(message)
      runtime.httpServer.sendJson(response, !known ? 404 : options.ready() ? 200 : 503, {})
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

  #addressesFor (availabilityZone: string): string[] {
    const serving = this.#options.serving()
    const local = serving.filter((member) => member.availabilityZone === availabilityZone)
    const hasRoom = local.length >= ENOUGH_LOCAL_GATEWAYS && meanLoad(local) <= Math.max(LOCAL_LOAD_LIMIT, meanLoad(serving))
    const told = hasRoom ? local : spread(serving)
    return told.slice(0, MOST_ADDRESSES).map((member) => member.callerAddress)
  }
}

function meanLoad (members: readonly routers.gatewayMessages.GatewayMember[]): number {
  return members.reduce((sum, member) => sum + member.load, 0) / Math.max(1, members.length)
}

/** Starts at the least loaded, so that a cut list leaves out the busiest. */
function spread (members: readonly routers.gatewayMessages.GatewayMember[]): routers.gatewayMessages.GatewayMember[] {
  return [...members].sort((left, right) => left.load - right.load)
}
