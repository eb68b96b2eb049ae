import * as standIns from '@acaciaweir/stand-ins'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as processes from './managed-process.js'
import * as relays from './relay.js'

const GATEWAY_MAIN = url.fileURLToPath(import.meta.resolve('@acaciaweir/gateway/main'))

/** A gateway process with its own relay to the store. */
export class SoakHost {
  readonly name: string
  readonly settings: standIns.publishedSettings.PublishedHost
  readonly storeRelay: relays.Relay
  readonly #settingsPath: string
  #process: processes.ManagedProcess | undefined
  /** A signal of the soak ended the process, or is about to. */
  #stopping = false
  paused = false

  constructor (settings: standIns.publishedSettings.PublishedHost, storeRelay: relays.Relay, folder: string) {
    this.name = settings.name
    this.settings = settings
    this.storeRelay = storeRelay
    this.#settingsPath = path.join(folder, `${settings.name}.toml`)
    fs.writeFileSync(this.#settingsPath, standIns.publishedSettings.settingsText(settings))
  }

  get callerAddress (): string {
    return `127.0.0.1:${this.settings.callerPort}`
  }

  get pid (): number {
    if (this.#process?.pid === undefined) throw new Error(`${this.name} does not run`)
    return this.#process.pid
  }

  /** The process was told to end, or is paused; its answers prove nothing about promises to callers in touch. */
  get disturbed (): boolean {
    return this.#stopping || this.paused
  }

  start (onOwnExit: (host: SoakHost, code: number | undefined) => void): void {
    const started = new processes.ManagedProcess(GATEWAY_MAIN, ['--settings-file', this.#settingsPath, '--metrics-port', '0', '--log-level', 'warn'])
    this.#process = started
    this.#stopping = false
    void started.exited().then((code) => {
      if (this.#process === started && !this.#stopping) onOwnExit(this, code)
    })
  }

  /** Ends the process by a signal and resolves when it is gone. */
  async end (signal: 'SIGTERM' | 'SIGKILL'): Promise<number | undefined> {
    this.#stopping = true
    if (this.paused) this.resume()
    this.#process?.signal(signal)
    return await this.#process?.exited()
  }

  pause (): void {
    this.paused = true
    this.#process?.signal('SIGSTOP')
  }

  resume (): void {
    this.paused = false
    this.#process?.signal('SIGCONT')
  }

  reload (): void {
    this.#process?.signal('SIGHUP')
  }

  async isReady (): Promise<boolean> {
    return (await standIns.publishedCaller.get(`http://127.0.0.1:${this.settings.readyPort}/ready`)).status === 200
  }
}

/** Gateways as separate processes before stand-ins in this one. */
export class SoakFleet {
  readonly platform: standIns.publishedPlatform.PublishedPlatform
  readonly hosts: SoakHost[] = []
  readonly #folder = fs.mkdtempSync(path.join(os.tmpdir(), 'acaciaweir-soak-'))

  constructor (accounts: standIns.publishedPlatform.PublishedAccount[]) {
    this.platform = new standIns.publishedPlatform.PublishedPlatform(accounts)
  }

  async start (gateways: number, onOwnExit: (host: SoakHost, code: number | undefined) => void): Promise<void> {
    const storePort = Number((await this.platform.store.listen()).split(':')[1])
    for (let index = 0; index < 4; index++) await this.platform.addTarget('engines', `engines-${index}`)
    for (let index = 0; index < 3; index++) await this.platform.addTarget('orders', `orders-${index}`)
    this.platform.configure()
    const peerPorts: number[] = []
    while (peerPorts.length < gateways) peerPorts.push(await standIns.freePorts.freePort())
    const seedPeers = peerPorts.slice(0, 3).map((port) => `127.0.0.1:${port}`)
    for (let index = 0; index < gateways; index++) {
      const relay = new relays.Relay(storePort)
      const settings: standIns.publishedSettings.PublishedHost = {
        name: `host-${index}`,
        callerPort: await standIns.freePorts.freePort(),
        readyPort: await standIns.freePorts.freePort(),
        directoryPort: await standIns.freePorts.freePort(),
        peerPort: peerPorts[index],
        storeAddress: `127.0.0.1:${await relay.listen()}`,
        seedPeers
      }
      this.hosts.push(new SoakHost(settings, relay, this.#folder))
    }
    for (const host of this.hosts) host.start(onOwnExit)
    await this.allReady()
  }

  /** Resolves once all gateways say that they are ready; rejects after 15 seconds. */
  async allReady (): Promise<void> {
    const end = performance.now() + 15_000
    for (const host of this.hosts) {
      while (!await host.isReady()) {
        if (performance.now() > end) throw new Error(`${host.name} does not become ready`)
        await pause(50)
      }
    }
  }

  async stop (): Promise<void> {
    await Promise.all(this.hosts.map(async (host) => { await host.end('SIGKILL') }))
    for (const host of this.hosts) host.storeRelay.close()
    this.platform.close()
    fs.rmSync(this.#folder, { recursive: true })
  }
}

/** Waits for a time in milliseconds. */
export async function pause (milliseconds: number): Promise<void> {
  await new Promise<void>((resolve) => { setTimeout(resolve, milliseconds) })
}
