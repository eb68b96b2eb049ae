import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as standIns from '@acaciaweir/stand-ins'
import * as gateways from '../src/gateway.js'

type PublishedTarget = standIns.publishedTarget.PublishedTarget
type CallerAnswer = standIns.publishedCaller.CallerAnswer

/** What a test fleet is made of. */
export interface FleetOptions {
  gateways: number
  engines?: number
  plain?: number
  accounts?: standIns.publishedPlatform.PublishedAccount[]
  engine?: Partial<standIns.publishedTarget.PublishedTargetOptions>
}

const usualAccounts: standIns.publishedPlatform.PublishedAccount[] = [{ name: 'depot', key: 'key-depot', prepaid: 1_000_000 }]

/** A store, targets and gateways on loopback, in this process. */
export class TestFleet {
  readonly platform: standIns.publishedPlatform.PublishedPlatform
  readonly gateways: gateways.Gateway[] = []
  readonly settings: adapter.settingsFile.FleetSettings[] = []
  #attempts = 0

  private constructor (accounts: standIns.publishedPlatform.PublishedAccount[]) {
    this.platform = new standIns.publishedPlatform.PublishedPlatform(accounts)
  }

  static async start (options: FleetOptions): Promise<TestFleet> {
    const fleet = new TestFleet(options.accounts ?? usualAccounts)
    const storeAddress = await fleet.platform.store.listen()
    for (let index = 0; index < (options.engines ?? 1); index++) await fleet.platform.addTarget('engines', `engines-${index}`, options.engine)
    for (let index = 0; index < (options.plain ?? 0); index++) await fleet.platform.addTarget('orders', `orders-${index}`)
    fleet.platform.configure()
    for (let index = 0; index < options.gateways; index++) fleet.settings.push(await freeSettings(index, storeAddress))
    for (const settings of fleet.settings) settings.seedPeers = fleet.settings.slice(0, 3).map((other) => other.peerListen)
    for (const settings of fleet.settings) await fleet.startGateway(settings)
    await Promise.all(fleet.settings.map(async (_settings, index) => { await fleet.ready(index) }))
    return fleet
  }

  get store (): standIns.publishedStore.PublishedStore {
    return this.platform.store
  }

  get targets (): PublishedTarget[] {
    return this.platform.targets
  }

  async startGateway (settings: adapter.settingsFile.FleetSettings): Promise<gateways.Gateway> {
    const log = { logger: runtime.logging.createLogger(process.env.TEST_LOG_LEVEL ?? 'silent'), droppedLines: () => 0, flush: () => {} }
    const gateway = new gateways.Gateway({ fleet: settings, metricsPort: 0, seed: 1, log })
    this.gateways.push(gateway)
    await gateway.start()
    return gateway
  }

  /** Resolves once a gateway says that it is ready. */
  async ready (index: number): Promise<void> {
    await eventually(async () => (await standIns.publishedCaller.get(`http://${this.settings[index].readyListen}/ready`)).status === 200)
  }

  /** Sends a request to a gateway as a caller. */
  async call (index: number, path: string, headers: Record<string, string> = {}, body = ''): Promise<CallerAnswer> {
    this.#attempts += 1
    const usual = standIns.publishedCaller.callerHeaders({
      host: standIns.publishedPlatform.HOST,
      attemptId: `attempt-${this.#attempts}`,
      key: this.platform.accounts[0].key,
      waitsMs: 4000
    })
    return await standIns.publishedCaller.send(this.settings[index].callerListen, path, { ...usual, ...headers }, body)
  }

  /** Sends a model request of the given size. */
  async callModel (index: number, path: string, promptTokens: number, outputTokens: number, headers: Record<string, string> = {}): Promise<CallerAnswer> {
    return await this.call(index, path, { model: 'm', 'token-counts': `${promptTokens},${outputTokens}`, 'prompt-prefix': `a1:${Math.floor(promptTokens / 2)},b${this.#attempts}:${Math.ceil(promptTokens / 2)}`, ...headers })
  }

  stop (): void {
    for (const gateway of this.gateways) gateway.stopNow()
    this.platform.close()
  }
}

/** Waits until a condition holds; fails after ten seconds. */
export async function eventually (holds: () => Promise<boolean> | boolean): Promise<void> {
  const end = performance.now() + 10_000
  while (!await holds()) {
    if (performance.now() > end) throw new Error('the condition did not come to hold')
    await new Promise<void>((resolve) => { setTimeout(resolve, 20) })
  }
}

async function freeSettings (index: number, storeAddress: string): Promise<adapter.settingsFile.FleetSettings> {
  const address = async (): Promise<string> => `127.0.0.1:${await standIns.freePorts.freePort()}`
  return {
    host: `host-${index}`,
    ip: '127.0.0.1',
    availabilityZone: 'zone-a',
    region: 'region',
    regionOfZone: { 'zone-a': 'region' },
    callerListen: await address(),
    readyListen: await address(),
    peerListen: await address(),
    directoryListen: await address(),
    seedPeers: [],
    storeAddress,
    memoryMb: 350,
    processorShare: 1,
    maximumDescriptors: 4000,
    retryBudget: { ratio: 0.2, slack: 50, windowMs: 10_000 },
    graceMs: 8000,
    directoryLifetimeMs: 5000
  }
}
