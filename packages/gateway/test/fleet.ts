import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as standIns from '@acaciaweir/stand-ins'
import * as gateways from '../src/gateway.js'

type TargetServer = standIns.targetServer.TargetServer
type CallerAnswer = standIns.callerClient.CallerAnswer

/** Size and set-up of a test fleet. */
export interface FleetOptions {
  gateways: number
  /** Number of model engines; 1 by default. */
  engines?: number
  /** Number of targets of a plain service; 0 by default. */
  plainTargets?: number
  accounts?: standIns.platformStandIn.ClientAccount[]
  engineOptions?: Partial<standIns.targetServer.TargetOptions>
  /** Bound for evacuations in the gateways' settings, in milliseconds; none by default. */
  evacuateMs?: number
  /** Processor time that each gateway may use, as a multiple of one core; 1 by default. */
  processorShare?: number
}

const defaultAccounts: standIns.platformStandIn.ClientAccount[] = [{ name: 'depot', apiKey: 'key-depot', prepaidTokens: 1_000_000 }]

/** A store, targets and gateways that run in this process and listen on loopback. */
export class TestFleet {
  readonly platform: standIns.platformStandIn.PlatformStandIn
  readonly gateways: gateways.Gateway[] = []
  readonly settings: adapter.settingsFile.FleetSettings[] = []
  #sentRequests = 0

  private constructor (accounts: standIns.platformStandIn.ClientAccount[]) {
    this.platform = new standIns.platformStandIn.PlatformStandIn(accounts)
  }

  static async start (options: FleetOptions): Promise<TestFleet> {
    const fleet = new TestFleet(options.accounts ?? defaultAccounts)
    const storeAddress = await fleet.platform.store.listen()
    for (let index = 0; index < (options.engines ?? 1); index++) await fleet.platform.addTarget('engines', `engines-${index}`, options.engineOptions)
    for (let index = 0; index < (options.plainTargets ?? 0); index++) await fleet.platform.addTarget('orders', `orders-${index}`)
    fleet.platform.configure()
    for (let index = 0; index < options.gateways; index++) fleet.settings.push(Object.assign(await settingsOnFreePorts(index, storeAddress), { evacuateMs: options.evacuateMs, processorShare: options.processorShare ?? 1 }))
    for (const settings of fleet.settings) settings.seedPeers = fleet.settings.slice(0, 3).map((other) => other.peerListen)
    for (const settings of fleet.settings) await fleet.startGateway(settings)
    await Promise.all(fleet.settings.map(async (_settings, index) => { await fleet.waitUntilReady(index) }))
    return fleet
  }

  get store (): standIns.storeServer.StoreServer {
    return this.platform.store
  }

  get targets (): TargetServer[] {
    return this.platform.targets
  }

  async startGateway (settings: adapter.settingsFile.FleetSettings): Promise<gateways.Gateway> {
    const log = { logger: runtime.logging.createLogger(process.env.TEST_LOG_LEVEL ?? 'silent'), droppedLines: () => 0, flush: () => {} }
    const gateway = new gateways.Gateway({ settings, metricsPort: 0, seed: 1, log })
    this.gateways.push(gateway)
    await gateway.start()
    return gateway
  }

  /** Resolves once the gateway's readiness probe succeeds. Rejects after ten seconds. */
  async waitUntilReady (index: number): Promise<void> {
    await eventually(async () => (await standIns.callerClient.get(`http://${this.settings[index].readyListen}/ready`)).status === 200)
  }

  /** Sends a request to a gateway as a caller would. `headers` override the default headers. */
  async call (index: number, path: string, headers: Record<string, string> = {}, body = ''): Promise<CallerAnswer> {
    this.#sentRequests += 1
    const defaultHeaders = standIns.callerClient.callerHeaders({
      host: standIns.platformStandIn.ROUTE_HOST,
      attemptId: `attempt-${this.#sentRequests}`,
      apiKey: this.platform.accounts[0].apiKey,
      remainingMs: 4000
    })
    return await standIns.callerClient.send(this.settings[index].callerListen, path, { ...defaultHeaders, ...headers }, body)
  }

  /** Sends a model request. All calls share the first part of the prompt; the second is unique to the call. */
  async callModel (index: number, path: string, promptTokens: number, outputTokens: number, headers: Record<string, string> = {}): Promise<CallerAnswer> {
    return await this.call(index, path, { model: 'm', 'token-counts': `${promptTokens},${outputTokens}`, 'prompt-prefix': `a1:${Math.floor(promptTokens / 2)},b${this.#sentRequests}:${Math.ceil(promptTokens / 2)}`, ...headers })
  }

  /** Sends small model requests in batches of ten, spread over the gateways, and returns how many were served. Each may use `tokens` tokens. */
  async spend (requests: number, tokens: number, gateways = this.settings.length): Promise<number> {
    let served = 0
    for (let count = 0; count < requests; count += 10) {
      const answers = await Promise.all(Array.from({ length: 10 }, async (_value, index) => await this.callModel((count + index) % gateways, '/plan/1', tokens - 10, 10)))
      served += answers.filter((answer) => answer.status === 200).length
    }
    return served
  }

  /** Stops the gateways without a graceful shutdown, and the platform. */
  stop (): void {
    for (const gateway of this.gateways) gateway.stopNow()
    this.platform.close()
  }
}

/** Polls a condition until it holds. Rejects after ten seconds. */
export async function eventually (holds: () => Promise<boolean> | boolean): Promise<void> {
  const end = performance.now() + 10_000
  while (!await holds()) {
    if (performance.now() > end) throw new Error('the condition did not hold within ten seconds')
    await new Promise<void>((resolve) => { setTimeout(resolve, 20) })
  }
}

async function settingsOnFreePorts (index: number, storeAddress: string): Promise<adapter.settingsFile.FleetSettings> {
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
    agreementApplyMs: 2000,
    directoryLifetimeMs: 5000
  }
}
