import type * as operators from '@acaciaweir/operators'
import * as daemon from '@acaciaweir/router-daemon'
import type * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as standIns from '@acaciaweir/stand-ins'
import * as timers from 'node:timers/promises'
import * as examples from './example-manifest.js'

const LOOPBACK = '127.0.0.1'

/** A fleet of routers with a stand-in platform and one stand-in engine, all in this process. */
export class EmbeddedFleet {
  readonly engine = new standIns.engineServer.EngineServer()
  readonly routers: daemon.router.Router[] = []
  readonly #platform = new standIns.storeServer.StoreServer()
  #client: platform.platformClient.PlatformClient | undefined
  #platformAddress = ''
  #engineAddress = ''

  /** The client of the platform. Throws before `start` has created it. */
  get client (): platform.platformClient.PlatformClient {
    if (this.#client === undefined) throw new Error('the fleet has not been started')
    return this.#client
  }

  /** Starts the platform, the engine and one router per entry of `availabilityZones`, without waiting for readiness. */
  async start (availabilityZones: string[]): Promise<void> {
    this.#platformAddress = `http://${await this.#platform.listen()}`
    this.#engineAddress = `http://${LOOPBACK}:${await this.engine.listen(0, LOOPBACK)}`
    this.#client = adapter.keyedStoreFactory.createKeyedStore(this.#platformAddress, 1000, runtime.logging.createLogger('silent'))
    for (const [index, availabilityZone] of availabilityZones.entries()) {
      const router = this.#createRouter(`host-${index + 1}`, availabilityZone)
      this.routers.push(router)
      await router.start()
    }
  }

  /** Creates a manifest with one client account, one budget and this fleet's engine. */
  createManifest (account: string, totalTokens: number, capTokens: number): operators.manifest.Manifest {
    return examples.exampleManifest({
      name: 'embedded',
      engines: [{ id: 'advisor-1', address: this.#engineAddress }],
      services: [],
      availabilityZones: ['zone-a'],
      accounts: [account],
      totalTokens,
      capTokens,
      slots: 8
    })
  }

  /** Resolves when all routers are ready, which takes an applied manifest. Polls without a timeout. */
  async waitUntilReady (): Promise<void> {
    for (const router of this.routers) {
      while (router.notReadyReason() !== undefined) await timers.setTimeout(10)
    }
  }

  /** Shuts the routers down gracefully. The platform keeps running, so that reports can still read from it. */
  async shutDownRouters (): Promise<void> {
    for (const router of this.routers) await router.shutDown()
  }

  /** Stops the engine and the platform. Call `shutDownRouters` first. */
  close (): void {
    this.engine.close()
    this.#platform.close()
  }

  #createRouter (host: string, availabilityZone: string): daemon.router.Router {
    const settings = daemon.settings.validateSettings({
      host,
      availabilityZone,
      platformAddress: this.#platformAddress,
      callerListen: `${LOOPBACK}:0`,
      peerListen: `${LOOPBACK}:0`,
      metricsListen: `${LOOPBACK}:0`
    })
    return new daemon.router.Router(settings, runtime.logging.createLogger('silent'))
  }
}
