// The harness of the review's scripts. Each case's folder has the same file, so that a case runs without the others.
import * as standIns from '@acaciaweir/stand-ins'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as os from 'node:os'
import * as path from 'node:path'
import * as readline from 'node:readline'
import * as url from 'node:url'

const POLL_MS = 20
const PATIENCE_MS = 20_000

export async function sleep (milliseconds) {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

/** Polls a condition until it holds. Rejects after twenty seconds. */
export async function until (holds, description) {
  const end = performance.now() + PATIENCE_MS
  while (!await holds()) {
    if (performance.now() > end) throw new Error(`waited in vain: ${description}`)
    await sleep(POLL_MS)
  }
}

/** Writes what a case sent, answered and ran to a file, one line each, with the time since the start of the case. */
class Record {
  #startedAt = performance.now()
  #file

  constructor (path) {
    this.#file = fs.openSync(path, 'w')
  }

  /** Time since the start of the case, in milliseconds. */
  get elapsedMs () {
    return Math.round(performance.now() - this.#startedAt)
  }

  /** Returns a time of the process's monotonic clock as time since the start of the case, in milliseconds. */
  timeOf (milliseconds) {
    return milliseconds - this.#startedAt
  }

  write (event, details = {}) {
    fs.writeSync(this.#file, `${String(this.elapsedMs).padStart(6)} ms  ${event} ${JSON.stringify(details)}\n`)
  }

  close () {
    fs.closeSync(this.#file)
  }
}

/** Exit codes of a case, as its `run.sh` returns them. */
const Verdict = { held: 0, broken: 1, notRun: 2 }

/** Time after which a case that has not ended counts as not run, in milliseconds. */
const MAXIMUM_DURATION_MS = 110_000

/** The case could not be set up or its outcome says nothing about the rule. */
export class CaseError extends Error {}

/** One case of the review. Subclasses play the events and judge what clients, targets and the platform have seen. */
export class ReviewCase {
  #deployment

  /** False for the run without the disruption. */
  hasTrouble = process.env.TROUBLE !== '0'

  constructor (directory, createDeployment) {
    this.record = new Record(path.join(directory, 'record.txt'))
    this.#deployment = createDeployment(this.record)
  }

  get deployment () {
    return this.#deployment
  }

  /** Plays the case. Resolves with what broke the rule, one text for each; empty if the rule held. Throws CaseError if the case says nothing. */
  async play () {
    throw new Error('not implemented')
  }

  /** Plays the case, writes the verdict and ends the process with its exit code. */
  async run () {
    const timer = setTimeout(() => { this.#end(Verdict.notRun, ['the case took too long']) }, MAXIMUM_DURATION_MS)
    this.record.write('case', { hasTrouble: this.hasTrouble })
    try {
      await this.deployment.start()
      const breaches = await this.play()
      clearTimeout(timer)
      this.#writeRuns()
      this.#end(breaches.length > 0 ? Verdict.broken : Verdict.held, breaches)
    } catch (error) {
      this.#end(Verdict.notRun, [error instanceof CaseError ? error.message : error.stack])
    }
  }

  #writeRuns () {
    for (const target of this.deployment.targets) {
      for (const run of target.runs) this.record.write('run', { target: target.options.id, ...run, startedAt: Math.round(this.record.timeOf(run.startedAt)) })
    }
  }

  #end (verdict, reasons) {
    this.deployment.stop()
    const name = Object.keys(Verdict).find((key) => Verdict[key] === verdict)
    this.record.write('verdict', { name, reasons })
    this.record.close()
    process.stdout.write(`${name}${reasons.map((reason) => `\n  ${reason}`).join('')}\n`)
    process.exit(verdict)
  }
}

/** Answer that a caller received. `status` is 0 if there was none; `isWhole` tells whether the body ended as its framing says. */
const NO_ANSWER = { status: 0, headers: {}, body: '', isWhole: false, hasGivenUp: false }

const LOGGED_BODY_CHARACTERS = 40

/** A caller's request. Sends the path as it is. */
class CallerRequest {
  #message
  #answer
  #hasGivenUp = false
  #gapTimer

  /**
   * `options`: address, method, path, headers, body, agent (without one, the request has a connection of its own), and patienceMs, the longest gap
   * before a piece of the answer after which the caller gives up.
   */
  constructor (options, record) {
    const [host, port] = options.address.split(':')
    const { method = 'POST', path, headers, body = '', agent = false, patienceMs = Infinity } = options
    this.attemptId = headers['attempt-id']
    record.write('sent', { attempt: this.attemptId, method, path, to: options.address })
    this.#answer = new Promise((resolve) => {
      const finish = (answer) => {
        clearTimeout(this.#gapTimer)
        resolve({ ...NO_ANSWER, ...answer, hasGivenUp: this.#hasGivenUp })
      }
      this.#message = http.request({ host, port, method, path, headers: { ...headers, 'content-length': Buffer.byteLength(body) }, agent }, (response) => {
        let text = ''
        const finishAnswer = (isWhole) => { finish({ status: response.statusCode, headers: response.headers, body: text, isWhole }) }
        response.setEncoding('utf8')
        response.on('data', (chunk) => {
          text += chunk
          this.#watchGap(patienceMs)
        })
        response.on('end', () => { finishAnswer(response.complete) })
        response.on('error', () => { finishAnswer(false) })
      })
      this.#message.on('error', (error) => { finish({ body: error.message }) })
    })
    this.#message.end(body)
    this.#watchGap(patienceMs)
    this.#answer.then(({ status, isWhole, hasGivenUp, body: text }) => {
      record.write('answered', { attempt: this.attemptId, status, isWhole, hasGivenUp, bytes: text.length, start: text.slice(0, LOGGED_BODY_CHARACTERS) })
    })
  }

  /** The request went out on a channel that had been used before. */
  get isOnKeptChannel () {
    return this.#message.reusedSocket
  }

  answer () {
    return this.#answer
  }

  #watchGap (patienceMs) {
    clearTimeout(this.#gapTimer)
    if (patienceMs === Infinity) return
    this.#gapTimer = setTimeout(() => {
      this.#hasGivenUp = true
      this.#message.destroy()
    }, patienceMs)
  }
}

/** Returns the headers of a caller's request. `model` states prompt and output tokens of a model request. */
function callerHeaders ({ host, attemptId, apiKey, remainingMs, model }) {
  return {
    host,
    'attempt-id': attemptId,
    'api-key': apiKey,
    'deadline-remaining-ms': String(remainingMs),
    ...(model === undefined ? {} : { model: 'm', 'token-counts': `${model.promptTokens},${model.outputTokens}`, 'prompt-prefix': `a1:${model.promptTokens - 1},${Buffer.from(attemptId).toString('hex')}:1` })
  }
}

/** Returns the number of complete events in the body of a stream. */
export function countEvents (body) {
  return (body.match(/^id: \d+\ndata: .*\n\n/gm) ?? []).length
}

/** Key of the only client account of the cases. */
export const API_KEY = 'key-depot'

/** Sends requests of one client account to the gateways of a deployment. */
export class Requests {
  #deployment
  #record

  constructor (deployment, record) {
    this.#deployment = deployment
    this.#record = record
  }

  /** Sends a request to the gateway of that index. `options`: path, and optionally model, remainingMs, body, agent and patienceMs. */
  send (index, { path, model, remainingMs = 15_000, body = '', agent = false, patienceMs }) {
    const headers = callerHeaders({ host: ROUTE_HOST, attemptId: this.#deployment.nextAttemptId(), apiKey: API_KEY, remainingMs, model })
    return new CallerRequest({ address: this.#deployment.gateways[index].callerAddress, path, headers, body, agent, patienceMs }, this.#record)
  }
}

const REPOSITORY = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../..')

/** The command of the deploy file, without the name of the program. */
const GATEWAY_ARGUMENTS = ['--max-old-space-size=120', '--max-semi-space-size=2', 'target/acaciaweir.mjs']

/** A gateway that runs as a process of its own, started as the deploy file does. */
class GatewayProcess {
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

  /** Asks the gateway's directory, as a client does, and returns its answer. */
  async resolve () {
    const { body } = await standIns.callerClient.get(`http://127.0.0.1:${this.settings.directoryPort}/resolve?Name=${ROUTE_HOST}&Region=region&Zone=zone-a`)
    const answer = JSON.parse(body)
    this.#record.write('resolved', { by: this.name, ...answer })
    return answer
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
    this.gateways = hosts.map((host) => new GatewayProcess(host, this.#directory, this.#record))
    for (const gateway of this.gateways) gateway.start()
    for (const gateway of this.gateways) await until(async () => await gateway.isReady(), `${gateway.name} is ready`)
    await sleep(SETTLING_MS)
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
