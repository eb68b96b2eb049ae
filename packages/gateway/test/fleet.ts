import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as standIns from '@acaciaweir/stand-ins'
import * as net from 'node:net'
import * as http from 'node:http'
import * as gateways from '../src/gateway.js'

type PublishedTarget = standIns.publishedTarget.PublishedTarget

/** Host name of the test routes. */
export const HOST = 'plans.example'

/** An account of the test configuration. */
export interface TestAccount {
  name: string
  key: string
  prepaid: number
}

/** What a test fleet is made of. */
export interface FleetOptions {
  gateways: number
  engines?: number
  plain?: number
  accounts?: TestAccount[]
  engine?: Partial<standIns.publishedTarget.PublishedTargetOptions>
}

/** One answer as a caller saw it. */
export interface CallerAnswer {
  status: number
  headers: http.IncomingHttpHeaders
  body: string
  /** The answer ended as its framing says. */
  whole: boolean
}

const usualAccounts: TestAccount[] = [{ name: 'depot', key: 'key-depot', prepaid: 1_000_000 }]

/** A store, targets and gateways on loopback, in this process. */
export class TestFleet {
  readonly store = new standIns.publishedStore.PublishedStore()
  readonly targets: PublishedTarget[] = []
  readonly gateways: gateways.Gateway[] = []
  readonly settings: adapter.settingsFile.FleetSettings[] = []
  #version = 0
  #attempts = 0
  accounts: TestAccount[]
  storeAddress = ''

  private constructor (accounts: TestAccount[]) {
    this.accounts = accounts
  }

  static async start (options: FleetOptions): Promise<TestFleet> {
    const fleet = new TestFleet(options.accounts ?? usualAccounts)
    fleet.storeAddress = await fleet.store.listen()
    for (let index = 0; index < (options.engines ?? 1); index++) await fleet.addTarget('engines', index, options.engine)
    for (let index = 0; index < (options.plain ?? 0); index++) await fleet.addTarget('orders', index)
    fleet.configure()
    for (let index = 0; index < options.gateways; index++) fleet.settings.push(await freeSettings(index, fleet.storeAddress))
    for (const settings of fleet.settings) settings.seedPeers = fleet.settings.slice(0, 3).map((other) => other.peerListen)
    for (const settings of fleet.settings) await fleet.startGateway(settings)
    await Promise.all(fleet.settings.map(async (_settings, index) => { await fleet.ready(index) }))
    return fleet
  }

  async startGateway (settings: adapter.settingsFile.FleetSettings): Promise<gateways.Gateway> {
    const log = { logger: runtime.logging.createLogger(process.env.TEST_LOG_LEVEL ?? 'silent'), droppedLines: () => 0, flush: () => {} }
    const gateway = new gateways.Gateway({ fleet: settings, metricsPort: 0, seed: 1, log })
    this.gateways.push(gateway)
    await gateway.start()
    return gateway
  }

  async addTarget (service: string, index: number, options: Partial<standIns.publishedTarget.PublishedTargetOptions> = {}): Promise<PublishedTarget> {
    const target = new standIns.publishedTarget.PublishedTarget({
      id: `${service}-${index}`, service, availabilityZone: 'zone-a', slots: 32, workMs: 5, eventIntervalMs: 2, events: 6, ...options
    })
    await target.listen()
    this.targets.push(target)
    this.store.put('servers', target.options.id, target.entry())
    return target
  }

  /** Writes a new version of the configuration. */
  configure (change: { routes?: object[], maximumTargets?: number, timeoutMs?: number } = {}): void {
    this.#version += 1
    const common = { Host: HOST, TimeoutMs: change.timeoutMs ?? 5000, TargetLatencyMs: 500, Priority: 1, MaxAttempts: change.maximumTargets ?? 2, AllowAnonymous: false }
    this.store.put('config', 'main', {
      Version: this.#version,
      Routes: [
        { ...common, Name: 'plan', PathPrefix: '/plan/', Kind: 'streaming', Service: 'engines', Sticky: true, Resumable: false },
        { ...common, Name: 'reply', PathPrefix: '/reply/', Kind: 'streaming', Service: 'engines', Sticky: true, Resumable: true },
        { ...common, Name: 'order', PathPrefix: '/order/', Kind: 'non_idempotent', Service: 'orders' },
        { ...common, Name: 'stock', PathPrefix: '/stock/', Kind: 'idempotent', Service: 'orders' },
        ...(change.routes ?? [])
      ],
      Services: [
        { Name: 'engines', HealthPath: '/health', MaxConnections: 200, Engine: { Slots: 32, KvCapacityTokens: 100_000, Stride: 1 } },
        { Name: 'orders', HealthPath: '/health', MaxConnections: 200 }
      ],
      Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 65_536, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
      Tenants: this.accounts.map((account) => ({ Name: account.name, ApiKeys: [account.key], Prepaid: account.prepaid }))
    })
  }

  /** Resolves once a gateway says that it is ready. */
  async ready (index: number): Promise<void> {
    await eventually(async () => (await get(`http://${this.settings[index].readyListen}/ready`)).status === 200)
  }

  /** Sends a request to a gateway as a caller. */
  async call (index: number, path: string, headers: Record<string, string> = {}, body = ''): Promise<CallerAnswer> {
    this.#attempts += 1
    return await send(this.settings[index].callerListen, path, {
      host: HOST,
      'attempt-id': `attempt-${this.#attempts}`,
      'api-key': this.accounts[0].key,
      'deadline-remaining-ms': '4000',
      ...headers
    }, body)
  }

  /** Sends a model request of the given size. */
  async callModel (index: number, path: string, promptTokens: number, outputTokens: number, headers: Record<string, string> = {}): Promise<CallerAnswer> {
    return await this.call(index, path, { model: 'm', 'token-counts': `${promptTokens},${outputTokens}`, 'prompt-prefix': `a1:${Math.floor(promptTokens / 2)},b${this.#attempts}:${Math.ceil(promptTokens / 2)}`, ...headers })
  }

  /** Tokens that the targets served to an account: prompts of runs, and events that left them. */
  served (account: string): number {
    let tokens = 0
    for (const run of this.targets.flatMap((target) => target.runs)) {
      if (run.account === account && run.tokenCounts !== undefined) tokens += Number(run.tokenCounts.split(',')[0]) + run.sentEvents
    }
    return tokens
  }

  stop (): void {
    for (const gateway of this.gateways) gateway.stopNow()
    for (const target of this.targets) target.close()
    this.store.close()
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

/** Sends one request on a connection of its own. */
export function send (address: string, path: string, headers: Record<string, string>, body = ''): Promise<CallerAnswer> {
  return new Promise((resolve, reject) => {
    const method = body === '' ? 'GET' : 'POST'
    const request = http.request(`http://${address}${path}`, { method, headers, agent: false }, (response) => {
      let text = ''
      const done = (whole: boolean): void => { resolve({ status: response.statusCode ?? 0, headers: response.headers, body: text, whole }) }
      response.setEncoding('utf8')
      response.on('data', (chunk: string) => { text += chunk })
      response.on('end', () => { done(response.complete) })
      response.on('error', () => { done(false) })
    })
    request.on('error', reject)
    request.end(body)
  })
}

/** Reads an address. */
export async function get (url: string): Promise<CallerAnswer> {
  const { host, pathname, search } = new URL(url)
  try {
    return await send(host, `${pathname}${search}`, {})
  } catch (error) {
    return { status: 0, headers: {}, body: String(error), whole: false }
  }
}

/** A port that was free a moment ago. */
async function freePort (): Promise<number> {
  const server = net.createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as net.AddressInfo
  await new Promise<void>((resolve) => { server.close(() => { resolve() }) })
  return port
}

async function freeSettings (index: number, storeAddress: string): Promise<adapter.settingsFile.FleetSettings> {
  const address = async (): Promise<string> => `127.0.0.1:${await freePort()}`
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
