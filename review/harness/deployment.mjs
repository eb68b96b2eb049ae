import * as standIns from '@acaciaweir/stand-ins'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as gatewayProcesses from './gateway-process.mjs'
import * as waiting from './waiting.mjs'

/** Host name of all routes. */
export const ROUTE_HOST = 'plans.example'

const DEFAULT_TARGET = { availabilityZone: 'zone-a', slots: 64, workMs: 20, eventIntervalMs: 20, events: 6, answerBytes: 0 }

/** A platform stand-in with targets in this process, and gateways in processes of their own, all on loopback. */
export class Deployment {
  #record
  #options
  #directory = fs.mkdtempSync(path.join(os.tmpdir(), 'acaciaweir-review-'))
  #sentRequests = 0
  store = new standIns.storeServer.StoreServer()
  targets = []
  gateways = []

  /** `options.targets` are options of the project's target stand-in, or targets of another kind; `options.configuration` is the operator's first version. */
  constructor (record, options) {
    this.#record = record
    this.#options = options
  }

  /** Starts the platform, the targets and the gateways. Resolves once all gateways are ready. */
  async start () {
    const storeAddress = await this.store.listen()
    for (const target of this.#options.targets ?? []) await this.addTarget(target)
    this.configure(this.#options.configuration)
    const hosts = await Promise.all(Array.from({ length: this.#options.gateways ?? 1 }, async (_value, index) => await chooseHost(index, storeAddress)))
    for (const host of hosts) host.seedPorts = hosts.slice(0, 3).map((other) => other.peerPort)
    this.gateways = hosts.map((host) => new gatewayProcesses.GatewayProcess(host, this.#directory, this.#record))
    for (const gateway of this.gateways) gateway.start()
    for (const gateway of this.gateways) await waiting.until(async () => await gateway.isReady(), `${gateway.name} is ready`)
    await waiting.sleep(SETTLING_MS)
    this.#record.write('ready', { gateways: this.gateways.length, targets: this.targets.length })
  }

  async addTarget (optionsOrTarget) {
    const isTarget = typeof optionsOrTarget.listen === 'function'
    const target = isTarget ? optionsOrTarget : new standIns.targetServer.TargetServer({ ...DEFAULT_TARGET, ...optionsOrTarget })
    await target.listen()
    this.targets.push(target)
    this.store.putObject('servers', target.options.id, target.registryEntry())
    return target
  }

  /** Writes a version of the configuration, as the operator does. */
  configure (configuration) {
    this.store.putObject('config', 'main', configuration)
    this.#record.write('configuration', { version: configuration.Version, services: configuration.Services.map(({ Name }) => Name), routes: configuration.Routes.map(({ PathPrefix, Service }) => `${PathPrefix} ${Service}`) })
  }

  nextAttemptId () {
    this.#sentRequests += 1
    return `attempt-${this.#sentRequests}`
  }

  /** Ends all processes that this deployment started. */
  stop () {
    for (const gateway of this.gateways) gateway.kill()
    for (const target of this.targets) target.close()
    this.store.close()
    fs.rmSync(this.#directory, { recursive: true, force: true })
  }
}

/** Time in which the gateways hear each other after they are ready, in milliseconds. */
const SETTLING_MS = 3500

async function chooseHost (index, storeAddress) {
  const { freePort } = standIns.freePorts
  return { name: `host-${index}`, storeAddress, callerPort: await freePort(), readyPort: await freePort(), peerPort: await freePort(), directoryPort: await freePort() }
}

/** Returns a configuration with the limits of the pages' example. */
export function configuration (version, { routes, services, tenants }) {
  return {
    Version: version,
    Routes: routes,
    Services: services,
    Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
    Tenants: tenants
  }
}

/** Returns a route of the configuration; `fields` complete or replace the usual ones. */
export function route (fields) {
  return { Host: ROUTE_HOST, TimeoutMs: 15_000, TargetLatencyMs: 600, Priority: 1, MaxAttempts: 1, AllowAnonymous: false, Sticky: false, Resumable: false, ...fields }
}

export function plainService (name) {
  return { Name: name, HealthPath: '/health', MaxConnections: 110, Protocol: 'h1', Tls: false }
}

export function engineService (name) {
  return { ...plainService(name), MaxConnections: 370, Engine: { Slots: 64, KvCapacityTokens: 708_113, Stride: 6, Models: [{ Name: 'm' }] } }
}
