import * as standIns from '@acaciaweir/stand-ins'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as processes from './managed-process.js'
import * as relays from './relay.js'

const GATEWAY_MAIN = url.fileURLToPath(import.meta.resolve('@acaciaweir/gateway/main'))

/** What the gateways of a fleet run with, where it differs from the default. */
export interface HostLimits extends Pick<standIns.gatewaySettings.HostSettings, 'memoryMb' | 'maximumDescriptors'> {
  nodeOptions?: string[]
}

/** A gateway process that reaches the store through its own relay. */
export class SoakHost {
  readonly name: string
  readonly settings: standIns.gatewaySettings.HostSettings
  readonly storeRelay: relays.Relay
  readonly #settingsPath: string
  readonly #nodeOptions: string[]
  #process: processes.ManagedProcess | undefined
  /** The soak has sent a terminating signal, or is about to, so that an exit is expected. */
  #isTerminated = false
  isPaused = false

  constructor (settings: standIns.gatewaySettings.HostSettings, storeRelay: relays.Relay, folder: string, nodeOptions: string[] = []) {
    this.#nodeOptions = nodeOptions
    this.name = settings.name
    this.settings = settings
    this.storeRelay = storeRelay
    this.#settingsPath = path.join(folder, `${settings.name}.toml`)
    fs.writeFileSync(this.#settingsPath, standIns.gatewaySettings.renderSettings(settings))
  }

  get callerAddress (): string {
    return `127.0.0.1:${this.settings.callerPort}`
  }

  /** Throws if the process was never started. */
  get pid (): number {
    if (this.#process?.pid === undefined) throw new Error(`${this.name} is not running`)
    return this.#process.pid
  }

  /** The process is terminated or paused. Its answers then prove nothing about the guarantees to connected callers. */
  get isDisturbed (): boolean {
    return this.#isTerminated || this.isPaused
  }

  /** Starts the gateway. Calls `onUnexpectedExit` if it exits without a signal of the soak. */
  start (onUnexpectedExit: (host: SoakHost, code: number | undefined) => void): void {
    const started = new processes.ManagedProcess(GATEWAY_MAIN, ['--settings-file', this.#settingsPath, '--metrics-port', '0', '--log-level', 'warn'], {}, this.#nodeOptions)
    this.#process = started
    this.#isTerminated = false
    void started.waitForExit().then((code) => {
      if (this.#process === started && !this.#isTerminated) onUnexpectedExit(this, code)
    })
  }

  /** Sends a terminating signal and resolves with the exit code; undefined if the signal ended the process. */
  async terminate (signal: 'SIGTERM' | 'SIGINT' | 'SIGKILL'): Promise<number | undefined> {
    this.#isTerminated = true
    if (this.isPaused) this.resume()
    this.#process?.signal(signal)
    return await this.#process?.waitForExit()
  }

  pause (): void {
    this.isPaused = true
    this.#process?.signal('SIGSTOP')
  }

  resume (): void {
    this.isPaused = false
    this.#process?.signal('SIGCONT')
  }

  /** Makes the gateway reload its settings file. */
  reload (): void {
    this.#process?.signal('SIGHUP')
  }

  async isReady (): Promise<boolean> {
    return (await standIns.callerClient.get(`http://127.0.0.1:${this.settings.readyPort}/ready`)).status === 200
  }
}

/** Gateways in processes of their own; the store and the targets are stand-ins in this process. */
export class SoakFleet {
  readonly platform: standIns.platformStandIn.PlatformStandIn
  readonly hosts: SoakHost[] = []
  readonly #folder = fs.mkdtempSync(path.join(os.tmpdir(), 'acaciaweir-soak-'))

  readonly #limits: HostLimits

  constructor (accounts: standIns.platformStandIn.ClientAccount[], limits: HostLimits = {}) {
    this.#limits = limits
    this.platform = new standIns.platformStandIn.PlatformStandIn(accounts)
  }

  /** Starts the stand-ins, then the gateways. Rejects if the gateways are not ready within 15 seconds. */
  async start (gateways: number, onUnexpectedExit: (host: SoakHost, code: number | undefined) => void): Promise<void> {
    const storePort = Number((await this.platform.store.listen()).split(':')[1])
    for (let index = 0; index < 4; index++) await this.platform.addTarget('engines', `engines-${index}`)
    for (let index = 0; index < 3; index++) await this.platform.addTarget('orders', `orders-${index}`)
    this.platform.configure()
    const peerPorts: number[] = []
    while (peerPorts.length < gateways) peerPorts.push(await standIns.freePorts.freePort())
    const seedPeers = peerPorts.slice(0, 3).map((port) => `127.0.0.1:${port}`)
    for (let index = 0; index < gateways; index++) {
      const relay = new relays.Relay(storePort)
      const settings: standIns.gatewaySettings.HostSettings = {
        name: `host-${index}`,
        callerPort: await standIns.freePorts.freePort(),
        readyPort: await standIns.freePorts.freePort(),
        directoryPort: await standIns.freePorts.freePort(),
        peerPort: peerPorts[index],
        storeAddress: `127.0.0.1:${await relay.listen()}`,
        seedPeers,
        memoryMb: this.#limits.memoryMb,
        maximumDescriptors: this.#limits.maximumDescriptors
      }
      this.hosts.push(new SoakHost(settings, relay, this.#folder, this.#limits.nodeOptions))
    }
    for (const host of this.hosts) host.start(onUnexpectedExit)
    await this.waitUntilReady()
  }

  /** Resolves once the readiness probes of all gateways succeed. Rejects after 15 seconds. */
  async waitUntilReady (): Promise<void> {
    const end = performance.now() + 15_000
    for (const host of this.hosts) {
      while (!await host.isReady()) {
        if (performance.now() > end) throw new Error(`${host.name} was not ready within 15 seconds`)
        await sleep(50)
      }
    }
  }

  async stop (): Promise<void> {
    await Promise.all(this.hosts.map(async (host) => { await host.terminate('SIGKILL') }))
    for (const host of this.hosts) host.storeRelay.close()
    this.platform.close()
    fs.rmSync(this.#folder, { recursive: true })
  }
}

export async function sleep (milliseconds: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, milliseconds) })
}
