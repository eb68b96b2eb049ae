import * as standIns from '@acaciaweir/stand-ins'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as path from 'node:path'
import * as readline from 'node:readline'
import * as url from 'node:url'

const REPOSITORY = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..')

/** The command of the deploy file, without the name of the program. */
const GATEWAY_ARGUMENTS = ['--max-old-space-size=120', '--max-semi-space-size=2', 'target/acaciaweir.mjs']

/** A gateway that runs as a process of its own, started as the deploy file does. */
export class GatewayProcess {
  #child
  #settingsPath
  #record
  #exit
  /** Lines of the gateway's log. */
  log = []

  constructor (settings, directory, record) {
    this.settings = settings
    this.#record = record
    this.#settingsPath = path.join(directory, `${settings.name}.toml`)
    fs.writeFileSync(this.#settingsPath, renderSettings(settings))
  }

  get name () {
    return this.settings.name
  }

  get callerAddress () {
    return `127.0.0.1:${this.settings.callerPort}`
  }

  get pid () {
    return this.#child.pid
  }

  start () {
    const { PATH, HOME, LANG } = process.env
    this.#child = childProcess.spawn(process.execPath, GATEWAY_ARGUMENTS, {
      cwd: REPOSITORY,
      env: { PATH, HOME, ...(LANG === undefined ? {} : { LANG }), ACACIAWEIR_NODE_FILE: this.#settingsPath, ACACIAWEIR_METRICS_PORT: '0' },
      stdio: ['ignore', 'pipe', 'pipe']
    })
    this.#exit = new Promise((resolve) => {
      this.#child.on('exit', (code, signal) => {
        this.#record.write('gateway-exit', { gateway: this.name, code, signal })
        resolve({ code, signal })
      })
    })
    for (const stream of [this.#child.stdout, this.#child.stderr]) readline.createInterface({ input: stream }).on('line', (line) => { this.log.push(line) })
    this.#record.write('gateway-start', { gateway: this.name, pid: this.#child.pid, callers: this.callerAddress })
  }

  get hasExited () {
    return this.#child.exitCode !== null || this.#child.signalCode !== null
  }

  signal (name) {
    this.#record.write('signal', { gateway: this.name, name })
    this.#child.kill(name)
  }

  /** Resolves with the exit code and the signal that ended the process. */
  exited () {
    return this.#exit
  }

  async isReady () {
    return (await standIns.callerClient.get(`http://127.0.0.1:${this.settings.readyPort}/ready`)).status === 200
  }

  kill () {
    if (this.#child !== undefined && !this.hasExited) this.#child.kill('SIGKILL')
  }
}

/** Returns the settings file of a host of a small deployment, with the bounds of the pages' example. */
function renderSettings (settings) {
  const address = (port) => `"127.0.0.1:${port}"`
  return `NodeName = "${settings.name}"
Role = "gateway"
MachineClass = "front"
Serves = ["front", "control", "directory"]
Ip = "127.0.0.1"
Zone = "zone-a"
Region = "region"
SeedNodes = [${settings.seedPorts.map(address).join(', ')}]
Bootstrap = true
Discovery = "platform"
Entry = "directory"
HeartbeatMs = 1200
[Zones]
zone-a = "region"
[ListenAddrs]
Front = ${address(settings.callerPort)}
Ready = ${address(settings.readyPort)}
Control = ${address(settings.peerPort)}
Directory = ${address(settings.directoryPort)}
[Limits]
CpuShare = 0.675
CpuCores = 1
MemoryMb = 350
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
DowngradeSlackMs = 250
MaxStretchMs = 5000
StrictRevocation = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetrySlack = 56
RecoverS = 12
PassMs = 120
ReuseWindowS = 10
settle_ms = 1500
ttl_max_s = 5
[Platform]
Address = "${settings.storeAddress}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
`
}
