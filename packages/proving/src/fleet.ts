import * as operators from '@acaciaweir/operators'
import type * as platform from '@acaciaweir/platform'
import * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as url from 'node:url'
import * as examples from './example-manifest.js'
import * as processes from './managed-process.js'
import * as proxies from './peer-proxy.js'
import * as relays from './relay.js'
import type * as traces from './trace-format.js'

const LOOPBACK = '127.0.0.1'

/** Time after the crash of an engine until it is back, in milliseconds. */
const ENGINE_RESTART_MS = 1000
const ROUTER_SCRIPT = url.fileURLToPath(import.meta.resolve('@acaciaweir/router-daemon').replace('index.js', 'main.js'))
const STAND_IN_SCRIPT = url.fileURLToPath(import.meta.resolve('@acaciaweir/stand-ins').replace('index.js', 'main.js'))

/** A target process with the relay that its connections pass through. */
export interface FleetTarget {
  id: string
  kind: 'engine' | 'service'
  relay: relays.Relay
  address: string
  process: processes.ManagedProcess
  port: number
  /** Entries from `/admin/served`, saved at each kill because the process loses them. */
  servedBeforeKill: unknown[]
  isAlive: boolean
}

/** A router process with the relay to the platform and the proxy to its peers, which inject faults. */
export interface FleetRouter {
  index: number
  host: string
  availabilityZone: string
  /** Undefined while the router is down. */
  process: processes.ManagedProcess | undefined
  callerAddress: string
  peerAddress: string
  platformRelay: relays.Relay
  platformAddress: string
  proxy: proxies.PeerProxy
  proxyPort: number
}

/** How routers connect to targets, the platform and each other: through relays that can inject faults, or directly. */
export const FleetPaths = { relayed: 'relayed', direct: 'direct' } as const
export type FleetPaths = typeof FleetPaths[keyof typeof FleetPaths]

/** Runs routers, targets and a platform as separate processes and injects faults into them. */
export class Fleet {
  readonly deployment: traces.TraceHeader['deployment']
  readonly name: string
  readonly accounts: string[]
  readonly routers: FleetRouter[] = []
  readonly targets: FleetTarget[] = []
  readonly #seed: number
  readonly #paths: FleetPaths
  readonly #cutLinks = new Set<string>()
  /** Times at which engines crashed under the crash text. */
  readonly engineCrashTimes: number[] = []
  #crashText = ''
  #isStopping = false
  #platform: processes.ManagedProcess | undefined
  #platformPort = 0
  #client: platform.platformClient.PlatformClient | undefined

  constructor (name: string, deployment: traces.TraceHeader['deployment'], seed: number, paths: FleetPaths = FleetPaths.relayed) {
    this.name = name
    this.deployment = deployment
    this.#seed = seed
    this.#paths = paths
    this.accounts = Array.from({ length: deployment.accounts }, (_value, index) => `account-${index}`)
  }

  /** Client of the platform that bypasses all relays. Throws before `start`. */
  get client (): platform.platformClient.PlatformClient {
    if (this.#client === undefined) throw new Error('the fleet has not been started')
    return this.#client
  }

  get configurationStore (): operators.configurationStore.ConfigurationStore {
    return new operators.configurationStore.ConfigurationStore(this.client)
  }

  /** Starts the platform, targets and routers, applies the manifest, and resolves when all routers are ready. */
  async start (): Promise<void> {
    this.#platform = new processes.ManagedProcess(STAND_IN_SCRIPT, ['platform'])
    this.#platformPort = await listeningPort(this.#platform)
    this.#client = adapter.keyedStoreFactory.createKeyedStore(`http://${LOOPBACK}:${this.#platformPort}`, 10_000, runtime.logging.createLogger('warn'))
    for (let index = 0; index < this.deployment.engines; index += 1) this.targets.push(await this.#createTarget('engine', index))
    for (let index = 0; index < this.deployment.services; index += 1) this.targets.push(await this.#createTarget('service', index))
    await this.configurationStore.apply(this.#manifest(), 0, 'first')
    for (let index = 0; index < this.deployment.routers; index += 1) this.routers.push(await this.#createRouter(index))
    await Promise.all(this.routers.map((router) => this.startRouter(router)))
  }

  /** Starts a router's process and resolves when it is ready. */
  async startRouter (router: FleetRouter): Promise<void> {
    const process = new processes.ManagedProcess(ROUTER_SCRIPT, this.#routerArguments(router), this.#routerEnvironment(router))
    router.process = process
    const started = await process.waitForEvent((line) => line.event === 'started')
    router.callerAddress = String(started.callerAddress)
    router.peerAddress = String(started.peerAddress)
    await this.#waitUntilReady(router)
  }

  /** Returns the target with the ID. Throws an Error if there is none. */
  target (id: string): FleetTarget {
    const found = this.targets.find((target) => target.id === id)
    if (found === undefined) throw new Error(`target "${id}" does not exist in the fleet`)
    return found
  }

  async startTarget (target: FleetTarget): Promise<void> {
    target.process = new processes.ManagedProcess(STAND_IN_SCRIPT, this.#targetArguments(target.kind))
    target.port = await listeningPort(target.process)
    target.relay.setTargetPort(target.port)
    target.isAlive = true
  }

  async killTarget (target: FleetTarget): Promise<void> {
    target.servedBeforeKill.push(...await this.#fetchServed(target))
    target.isAlive = false
    target.process.signal('SIGKILL')
    await target.process.waitForExit()
  }

  /** Returns all entries that a target recorded: up to its last kill, and since its last start. */
  async readServed (target: FleetTarget): Promise<{ beforeKill: unknown[], sinceStart: unknown[] }> {
    const sinceStart = target.isAlive ? await this.#fetchServed(target) : []
    return { beforeKill: target.servedBeforeKill, sinceStart }
  }

  /** Makes the engines crash under prompts with a text, and restarts them. An empty text ends this. */
  async setCrashText (crashText: string): Promise<void> {
    this.#crashText = crashText
    await Promise.all(this.targets.filter((target) => target.kind === 'engine' && target.isAlive).map(async (target) => { await this.#applyCrashText(target) }))
  }

  async #applyCrashText (target: FleetTarget): Promise<void> {
    const { process } = target
    await this.setTarget(target, { crashText: this.#crashText })
    void process.waitForEvent((line) => line.crashed !== undefined).then(async (line) => { await this.#restartCrashed(target, line.crashed as unknown[]) })
  }

  async #restartCrashed (target: FleetTarget, served: unknown[]): Promise<void> {
    this.engineCrashTimes.push(performance.now())
    target.servedBeforeKill.push(...served)
    target.isAlive = false
    await target.process.waitForExit()
    await new runtime.systemClock.SystemClock().sleep(ENGINE_RESTART_MS)
    if (this.#isStopping) return
    await this.startTarget(target)
    if (this.#crashText !== '') await this.#applyCrashText(target)
  }

  async setTarget (target: FleetTarget, change: object): Promise<void> {
    await postJson(`http://${LOOPBACK}:${target.port}/admin/set`, change)
  }

  async setPlatform (faults: object): Promise<void> {
    await postJson(`http://${LOOPBACK}:${this.#platformPort}/admin/faults`, faults)
  }

  /** Sets the `leaving` mark of a host or target in the platform's lists. It takes effect after the platform's `hostListLagMs`. */
  async setListed (kind: 'hosts' | 'targets', name: string, leaving: boolean): Promise<void> {
    await postJson(`http://${LOOPBACK}:${this.#platformPort}/admin/listed`, { kind, name, leaving })
  }

  /** Returns the number of calls to the platform since its start, by kind. */
  async readPlatformCallCounts (): Promise<Record<string, number>> {
    const answer = await postJson(`http://${LOOPBACK}:${this.#platformPort}/admin/counts`, {})
    return (JSON.parse(answer) as { counts: Record<string, number> }).counts
  }

  /** Partitions two groups of routers from each other, in both directions. */
  cut (from: number[], to: number[]): void {
    for (const left of from) {
      for (const right of to) {
        this.#cutLinks.add(`${left}>${right}`)
        this.#cutLinks.add(`${right}>${left}`)
      }
    }
    for (const router of this.routers) router.proxy.closeCutConnections()
  }

  /** Removes all partitions between routers. */
  heal (): void {
    this.#cutLinks.clear()
  }

  /** Kills all processes of the fleet and closes its relays and proxies. */
  async stop (): Promise<void> {
    this.#isStopping = true
    const running = [...this.routers.map((router) => router.process), ...this.targets.map((target) => target.process), this.#platform]
    for (const process of running) process?.signal('SIGKILL')
    for (const router of this.routers) {
      router.platformRelay.close()
      router.proxy.close()
    }
    for (const target of this.targets) target.relay.close()
    await Promise.all(running.map((process) => process?.waitForExit()))
  }

  async #createTarget (kind: 'engine' | 'service', index: number): Promise<FleetTarget> {
    const process = new processes.ManagedProcess(STAND_IN_SCRIPT, this.#targetArguments(kind))
    const port = await listeningPort(process)
    const relay = new relays.Relay(port)
    const relayPort = await relay.listen()
    const address = `http://${LOOPBACK}:${this.#paths === FleetPaths.direct ? port : relayPort}`
    return { id: `${kind}-${index}`, kind, relay, address, process, port, servedBeforeKill: [], isAlive: true }
  }

  async #createRouter (index: number): Promise<FleetRouter> {
    const platformRelay = new relays.Relay(this.#platformPort)
    const proxy = new proxies.PeerProxy((address) => this.#isCut(index, address))
    const { availabilityZones } = this.deployment
    return {
      index,
      host: `host-${index}`,
      availabilityZone: availabilityZones[index % availabilityZones.length],
      process: undefined,
      callerAddress: '',
      peerAddress: '',
      platformRelay,
      platformAddress: `http://${LOOPBACK}:${await platformRelay.listen()}`,
      proxy,
      proxyPort: await proxy.listen()
    }
  }

  #isCut (from: number, address: string): boolean {
    const to = this.routers.find((router) => router.peerAddress === address)
    return to !== undefined && this.#cutLinks.has(`${from}>${to.index}`)
  }

  #manifest (): operators.manifest.Manifest {
    const targetsOfKind = (kind: string): FleetTarget[] => this.targets.filter((target) => target.kind === kind)
    return examples.exampleManifest({
      name: this.name,
      engines: targetsOfKind('engine').map(({ id, address }) => ({ id, address })),
      services: targetsOfKind('service').map(({ id, address }) => ({ id, address })),
      availabilityZones: this.deployment.availabilityZones,
      accounts: this.accounts,
      totalTokens: this.deployment.totalTokens,
      capTokens: this.deployment.capTokens,
      slots: this.deployment.slots,
      extraBudgets: this.deployment.extraBudgets
    })
  }

  #targetArguments (kind: 'engine' | 'service'): string[] {
    if (kind === 'service') return ['service']
    const { slots, firstTokenMs, tokenIntervalMs } = this.deployment
    return ['engine', '--slots', String(slots), '--first-token-ms', String(firstTokenMs), '--token-interval-ms', String(tokenIntervalMs)]
  }

  #routerArguments (router: FleetRouter): string[] {
    const settings: Record<string, string | number> = {
      host: router.host,
      'availability-zone': router.availabilityZone,
      'platform-address': this.#paths === FleetPaths.direct ? `http://${LOOPBACK}:${this.#platformPort}` : router.platformAddress,
      'caller-listen': `${LOOPBACK}:0`,
      'peer-listen': `${LOOPBACK}:0`,
      'metrics-listen': `${LOOPBACK}:0`,
      seed: this.#seed + router.index,
      ...this.deployment.routerSettings
    }
    return Object.entries(settings).flatMap(([name, value]) => [`--${name}`, String(value)])
  }

  #routerEnvironment (router: FleetRouter): Record<string, string> {
    if (this.#paths === FleetPaths.direct) return {}
    return { grpc_proxy: `http://${LOOPBACK}:${router.proxyPort}`, GRPC_VERBOSITY: 'NONE' }
  }

  async #waitUntilReady (router: FleetRouter): Promise<void> {
    const clock = new runtime.systemClock.SystemClock()
    for (;;) {
      const answer = await runtime.httpCall.callHttp({ method: 'GET', url: router.callerAddress + '/readyz', idleTimeoutMs: 2000 }).catch(() => undefined)
      if (answer?.status === 200) return
      await clock.sleep(20)
    }
  }

  async #fetchServed (target: FleetTarget): Promise<unknown[]> {
    const answer = await runtime.httpCall.callHttp({ method: 'GET', url: `http://${LOOPBACK}:${target.port}/admin/served`, idleTimeoutMs: 5000 })
    return JSON.parse(answer.body) as unknown[]
  }
}

async function listeningPort (process: processes.ManagedProcess): Promise<number> {
  return Number((await process.waitForEvent((line) => line.listening !== undefined)).listening)
}

async function postJson (address: string, body: object): Promise<string> {
  const answer = await runtime.httpCall.callHttp({ method: 'POST', url: address, body: JSON.stringify(body), idleTimeoutMs: 5000 })
  return answer.body
}
