import * as standIns from '@acaciaweir/stand-ins'
import * as childProcess from 'node:child_process'
import * as fs from 'node:fs'
import * as http from 'node:http'
import * as net from 'node:net'
import * as os from 'node:os'
import * as path from 'node:path'
import * as readline from 'node:readline'
import * as url from 'node:url'

/** Root of the repository, from which the deploy file starts programs. */
const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '..')

/** Command of the deploy file. */
const COMMAND = ['node', '--max-old-space-size=120', '--max-semi-space-size=2', 'target/acaciaweir.mjs']

/** Exit codes of a script. */
export const EXIT = { held: 0, broken: 1, notRun: 2 }

/** Longest run of a script, in milliseconds. */
const MAXIMUM_RUN_MS = 115_000

/** Longest wait for a gateway to become ready, in milliseconds. */
const READY_TIMEOUT_MS = 15_000

export const ROUTE_HOST = 'orders.example'
export const API_KEY = 'key-depot'

export async function sleep (milliseconds) {
  await new Promise((resolve) => { setTimeout(resolve, milliseconds) })
}

export async function until (holds, timeoutMs, what) {
  const end = performance.now() + timeoutMs
  while (!await holds()) {
    if (performance.now() > end) throw new Error(`timed out: ${what}`)
    await sleep(20)
  }
}

/** One run of a script: its record, its processes and its end. */
export class Experiment {
  #record
  #processes = new Set()
  #closers = []
  #directory
  #startedAt = performance.now()
  hasDisruption = process.env.TROUBLE !== '0'

  constructor (folder) {
    process.on('exit', () => { for (const child of this.#processes) child.kill('SIGKILL') })
    this.#record = fs.openSync(path.join(folder, 'record.txt'), 'w')
    this.#directory = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
  }

  get nowMs () {
    return performance.now() - this.#startedAt
  }

  /** Writes a line to the record. */
  note (text) {
    fs.writeSync(this.#record, `${(this.nowMs / 1000).toFixed(3)} ${text}\n`)
  }

  onEnd (close) {
    this.#closers.push(close)
  }

  file (name, text) {
    const file = path.join(this.#directory, name)
    fs.writeFileSync(file, text)
    return file
  }

  /** Starts a program in the root of the repository. Lines of its standard output go to `onLine`. */
  spawn (command, environment, onLine, name) {
    const child = childProcess.spawn(command[0], command.slice(1), { cwd: ROOT, env: { PATH: process.env.PATH, HOME: process.env.HOME, ...environment }, stdio: ['ignore', 'pipe', 'pipe'] })
    this.#processes.add(child)
    child.on('exit', (code, signal) => {
      this.#processes.delete(child)
      this.note(`process ${name} ended: code ${code} signal ${signal}`)
    })
    readline.createInterface({ input: child.stdout }).on('line', onLine)
    readline.createInterface({ input: child.stderr }).on('line', (line) => { if (/FATAL|Error/.test(line)) this.note(`${name} stderr: ${line.slice(0, 200)}`) })
    return child
  }

  /** Runs the experiment and exits: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  async run (body) {
    const timer = setTimeout(() => { this.#end(EXIT.notRun, 'the run took too long') }, MAXIMUM_RUN_MS)
    try {
      const verdict = await body()
      clearTimeout(timer)
      this.#end(verdict.isBroken ? EXIT.broken : EXIT.held, verdict.reason)
    } catch (error) {
      this.#end(EXIT.notRun, error.stack)
    }
  }

  #end (code, reason) {
    this.note(`verdict ${code}: ${reason}`)
    console.log(`exit ${code}: ${reason}`)
    for (const child of this.#processes) child.kill('SIGKILL')
    for (const close of this.#closers) close()
    fs.rmSync(this.#directory, { recursive: true, force: true })
    process.exit(code)
  }
}

/** The platform's store with a configuration, and the settings of the gateways before it. */
export class Platform {
  store = new standIns.storeServer.StoreServer()
  #experiment
  #storeAddress
  #version = 0

  constructor (experiment) {
    this.#experiment = experiment
    experiment.onEnd(() => { this.store.close() })
  }

  async start () {
    this.#storeAddress = await this.store.listen()
  }

  get storeAddress () {
    return this.#storeAddress
  }

  get version () {
    return this.#version
  }

  /** Publishes a configuration of the shape and with the limits that `fleetbench wire` shows. */
  configure ({ prepaid = 50_000_000, engineService = 'engines', dropsEngines = false, routes = [], orderTimeoutMs = 6000, headerTimeoutMs = 3000 } = {}) {
    this.#version += 1
    const common = { Host: ROUTE_HOST, Priority: 1, AllowAnonymous: false, Sticky: false, Resumable: false }
    this.store.putObject('config', 'main', {
      Version: this.#version,
      Routes: [
        { ...common, Name: 'plan', PathPrefix: '/plan/', Kind: 'streaming', TimeoutMs: 15_000, TargetLatencyMs: 600, GapTargetMs: 250, Service: engineService, MaxAttempts: 1, Sticky: true },
        { ...common, Name: 'order', PathPrefix: '/order/', Kind: 'non_idempotent', TimeoutMs: orderTimeoutMs, TargetLatencyMs: 400, Service: 'orders', MaxAttempts: 1 },
        { ...common, Name: 'stock', PathPrefix: '/stock/', Kind: 'idempotent', TimeoutMs: 6000, TargetLatencyMs: 400, Service: 'orders', MaxAttempts: 2 },
        ...routes.map((route) => ({ ...common, ...route }))
      ],
      Services: [
        ...[...new Set([...(dropsEngines ? [] : ['engines']), engineService])].map((name) => ({ Name: name, HealthPath: '/health', MaxConnections: 370, Engine: { Slots: 64, KvCapacityTokens: 708_113, Stride: 6 } })),
        { Name: 'orders', HealthPath: '/health', MaxConnections: 110 }
      ],
      Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: headerTimeoutMs, IdleTimeoutMs: 15_000 },
      Tenants: [{ Name: 'depot', ApiKeys: [API_KEY], Priority: 1, Prepaid: prepaid }]
    })
  }

  /** Creates the settings of a number of gateways that know each other as seeds. */
  async settings (count, storeAddressOf = () => this.#storeAddress) {
    const hosts = []
    for (let index = 0; index < count; index++) {
      hosts.push({ name: `front-a-${index + 1}`, front: await freePort(), ready: await freePort(), control: await freePort(), directory: await freePort() })
    }
    const seeds = hosts.slice(0, 3).map(({ control }) => `"127.0.0.1:${control}"`).join(',')
    return hosts.map((host) => ({ ...host, file: this.#experiment.file(`${host.name}.toml`, renderSettings(host, seeds, storeAddressOf(host, this.#storeAddress))) }))
  }
}

function renderSettings (host, seeds, storeAddress) {
  return [
    `NodeName = "${host.name}"`, 'Role = "gateway"', 'MachineClass = "front"', 'Serves = ["front","control","directory"]', 'Ip = "127.0.0.1"', 'Zone = "sofia-a"', 'Region = "sofia"',
    `SeedNodes = [${seeds}]`, 'Bootstrap = true', 'InFaultBudget = false', 'Discovery = "platform"', 'Entry = "directory"', 'HeartbeatMs = 1200',
    'Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]',
    '[Zones]', 'sofia-a = "sofia"',
    '[ListenAddrs]', `Front = "127.0.0.1:${host.front}"`, `Ready = "127.0.0.1:${host.ready}"`, `Control = "127.0.0.1:${host.control}"`, `Directory = "127.0.0.1:${host.directory}"`,
    '[Limits]', 'CpuShare = 0.675', 'CpuCores = 1', 'MemoryMb = 350', 'MaxFds = 4100', 'LinkMbps = 1000.0', 'DiskMb = 0',
    '[FaultTolerance]', 'Machines = 2', 'Zones = 0', 'Regions = 0',
    '[Bounds]', 'SeedLagS = 3', 'ReuseAfterS = 2', 'ContactMs = 3000', 'AckMs = 4000', 'CatchUpS = 4', 'DrainMs = 2000', 'GraceS = 8', 'LossSlackMs = 200', 'ConfigApplyMs = 2000',
    'DowngradeSlackMs = 250', 'MaxStretchMs = 5000', 'StrictRevocation = false', 'RevokeMs = 5000', 'RetryBudgetRatio = 0.2', 'BudgetWindowS = 10', 'RetrySlack = 56', 'RecoverS = 12',
    'PassMs = 120', 'ReuseWindowS = 10', 'settle_ms = 1500', 'ttl_max_s = 5',
    '[Platform]', `Address = "${storeAddress}"`, 'form = "objects"', 'WritesPerS = 400', 'ReadsPerS = 2000', 'HistoryS = 20', 'ValueBytes = 1048576', 'TtlMinMs = 1000', ''
  ].join('\n')
}

async function freePort () {
  return await standIns.freePorts.freePort()
}

/** A gateway process. */
export class Gateway {
  #experiment
  host
  child
  isEnded = false
  /** Log lines by event. */
  events = []

  constructor (experiment, host) {
    this.#experiment = experiment
    this.host = host
  }

  start () {
    this.isEnded = false
    this.child = this.#experiment.spawn(COMMAND, { ACACIAWEIR_NODE_FILE: this.host.file, ACACIAWEIR_METRICS_PORT: '0' }, (line) => { this.#readLine(line) }, this.host.name)
    const { child } = this
    child.on('exit', () => { if (this.child === child) this.isEnded = true })
    this.#experiment.note(`start ${this.host.name} pid ${child.pid}`)
  }

  #readLine (line) {
    try {
      const event = JSON.parse(line)
      if (event.event !== undefined) this.events.push(event)
    } catch {
      this.#experiment.note(`${this.host.name} wrote: ${line.slice(0, 200)}`)
    }
  }

  async ready (timeoutMs = READY_TIMEOUT_MS) {
    await until(async () => !this.isEnded && await this.isReady(), timeoutMs, `${this.host.name} is ready`)
    this.#experiment.note(`ready ${this.host.name}`)
  }

  async isReady () {
    return await new Promise((resolve) => {
      const request = http.get({ host: '127.0.0.1', port: this.host.ready, path: '/ready', agent: false, timeout: 1000 }, (response) => {
        response.resume()
        resolve(response.statusCode === 200)
      })
      request.on('error', () => { resolve(false) })
      request.on('timeout', () => { request.destroy() })
    })
  }

  /** Resident memory, in megabytes. */
  memoryMb () {
    try {
      return Number(/VmRSS:\s+(\d+)/.exec(fs.readFileSync(`/proc/${this.child.pid}/status`, 'utf8'))?.[1]) / 1024
    } catch {
      return NaN
    }
  }

  kill (signal) {
    this.#experiment.note(`${signal} to ${this.host.name}`)
    this.child.kill(signal)
  }
}

/** A replica: answers each whole request with what `answer(message, response, body)` does. Checks what the pages say that a replica checks. */
export class Replica {
  runs = []
  arrivals = []
  #server
  #sockets = new Set()
  #experiment
  id
  service
  address = ''
  slots
  born

  constructor (experiment, id, service, answer, slots = 64) {
    this.#experiment = experiment
    this.id = id
    this.service = service
    this.slots = slots
    this.#server = http.createServer((message, response) => { this.#handle(message, response, answer) })
    this.#server.keepAliveTimeout = 30_000
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.on('error', () => {})
      socket.on('close', () => { this.#sockets.delete(socket) })
    })
    experiment.onEnd(() => { this.#server.close() })
  }

  async listen (port = 0) {
    await new Promise((resolve) => { this.#server.listen(port, '127.0.0.1', resolve) })
    this.address = `127.0.0.1:${this.#server.address().port}`
  }

  /** Ends as a process that is killed. */
  crash () {
    this.#server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
  }

  entry (state = 'ready') {
    const entry = { Service: this.service, Address: this.address, Zone: 'sofia-a', Version: 'v1', Slots: this.slots, State: state, ColdRemainingMs: 0, Sequence: 1 }
    return this.born === undefined ? entry : { ...entry, born: this.born }
  }

  #handle (message, response, answer) {
    const chunks = []
    message.on('data', (chunk) => { chunks.push(chunk) })
    message.on('error', () => {})
    message.on('end', () => {
      const attempt = message.headers['attempt-id']
      if (message.url === '/health') { response.writeHead(200, { 'replica-id': this.id }).end(); return }
      const arrival = { attempt, at: performance.now(), path: message.url, headers: message.headers }
      this.arrivals.push(arrival)
      if (attempt === undefined) { response.writeHead(400, { 'not-executed': '1' }).end(); return }
      if (message.headers['expect-replica'] !== undefined && message.headers['expect-replica'] !== this.id) {
        response.writeHead(421, { 'attempt-id': attempt, 'not-executed': '1' }).end()
        return
      }
      answer({ replica: this, message, response, body: Buffer.concat(chunks), attempt, run: () => { this.#run(arrival) } })
    })
  }

  #run (arrival) {
    this.runs.push(arrival)
    this.#experiment.note(`run ${arrival.attempt} ${arrival.path} at ${this.id}`)
  }
}

let attempts = 0

/** Returns a new attempt identity. */
export function newAttempt () {
  attempts += 1
  return `a${attempts.toString(16).padStart(8, '0')}`
}

/** Returns the head of a client's request. */
export function requestHead (method, requestPath, attempt, { key = API_KEY, limitMs = 6000, headers = {}, bodyBytes } = {}) {
  const lines = [`${method} ${requestPath} HTTP/1.1`, `Host: ${ROUTE_HOST}`, `Attempt-Id: ${attempt}`, `Deadline-Remaining-Ms: ${limitMs}`, `Api-Key: ${key}`]
  for (const [name, value] of Object.entries(headers)) lines.push(`${name}: ${value}`)
  if (bodyBytes !== undefined) lines.push(`Content-Length: ${bodyBytes}`)
  return `${lines.join('\r\n')}\r\n\r\n`
}

/** Sends a request on a new channel and resolves with the status, headers and body; `isComplete` is false if the channel ended before. */
export function send (experiment, port, method, requestPath, { attempt = newAttempt(), key = API_KEY, limitMs = 6000, headers = {}, body = '', isNoted = true } = {}) {
  return new Promise((resolve) => {
    const startedAt = performance.now()
    if (isNoted) experiment.note(`sent ${attempt} ${method} ${requestPath} to ${port}`)
    const end = (answer) => {
      clearTimeout(timer)
      if (isNoted) experiment.note(`answer ${attempt} ${answer.status} ${answer.isComplete ? 'complete' : `incomplete (${answer.error})`} after ${Math.round(performance.now() - startedAt)} ms`)
      resolve({ attempt, ...answer })
    }
    const request = http.request({ host: '127.0.0.1', port, method, path: requestPath, agent: false, headers: { Host: ROUTE_HOST, 'Attempt-Id': attempt, 'Deadline-Remaining-Ms': String(limitMs), 'Api-Key': key, ...headers, ...(method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) }) } })
    const timer = setTimeout(() => { request.destroy(new Error('time limit')) }, limitMs + 500)
    request.on('error', (error) => { end({ status: 0, headers: {}, body: '', isComplete: false, error: error.message }) })
    request.on('response', (response) => {
      const chunks = []
      response.on('data', (chunk) => { chunks.push(chunk) })
      response.on('error', () => {})
      response.on('close', () => { end({ status: response.statusCode, headers: response.headers, body: Buffer.concat(chunks).toString(), isComplete: response.complete, error: 'cut' }) })
    })
    request.end(body)
  })
}

/** Opens a channel to a port. */
export async function connect (port) {
  return await new Promise((resolve, reject) => {
    const socket = net.connect(port, '127.0.0.1', () => { resolve(socket) })
    socket.once('error', reject)
    socket.on('error', () => {})
  })
}

/** A proxy before an address. While `isCut`, it forwards nothing and takes no new channels through. */
export class Proxy {
  isCut = false
  address = ''
  #pairs = new Set()

  constructor (experiment, targetAddress) {
    this.experiment = experiment
    const [host, port] = targetAddress.split(':')
    this.server = net.createServer((near) => {
      const pair = { near, far: net.connect(Number(port), host) }
      this.#pairs.add(pair)
      for (const [from, to] of [[near, pair.far], [pair.far, near]]) {
        from.on('data', (bytes) => { if (!this.isCut) to.write(bytes) })
        from.on('error', () => {})
        from.on('close', () => { this.#pairs.delete(pair); to.destroy() })
      }
    })
    experiment.onEnd(() => { this.server.close() })
  }

  async listen () {
    await new Promise((resolve) => { this.server.listen(0, '127.0.0.1', resolve) })
    this.address = `127.0.0.1:${this.server.address().port}`
  }

  /** Drops all bytes from now on, without a reset. */
  cut () {
    this.isCut = true
    this.experiment.note(`cut proxy ${this.address}`)
  }

  /** Lets new channels through again; those of before are reset. */
  heal () {
    for (const { near, far } of this.#pairs) { near.resetAndDestroy(); far.resetAndDestroy() }
    this.#pairs.clear()
    this.isCut = false
    this.experiment.note(`healed proxy ${this.address}`)
  }
}

/** Time between the starts of two ordinary clients, in milliseconds. */
const CLIENT_STAGGER_MS = 120

/** Clients that send one order after the other, each on a channel of its own that it keeps. */
export class OrdinaryClients {
  /** Orders on a channel that had been answered on before: `attempt`, and once it has ended `status` and `isComplete`. */
  onKeptChannels = []
  answered = 0
  #experiment
  #agents = []
  #isStopped = false

  constructor (experiment, port, count) {
    this.#experiment = experiment
    for (let index = 0; index < count; index++) {
      const agent = new http.Agent({ keepAlive: true, maxSockets: 1 })
      this.#agents.push(agent)
      // Their orders are spread over time, so that some are in progress at any moment.
      setTimeout(() => this.#run(agent, port), index * CLIENT_STAGGER_MS)
    }
    experiment.onEnd(() => { for (const agent of this.#agents) agent.destroy() })
  }

  stop () {
    this.#isStopped = true
  }

  async #run (agent, port) {
    while (!this.#isStopped) {
      const answer = await this.#order(agent, port)
      if (!answer.isComplete) return
      this.answered += 1
    }
  }

  #order (agent, port) {
    return new Promise((resolve) => {
      const order = { attempt: newAttempt(), status: undefined, isComplete: undefined }
      const end = (status, isComplete) => {
        if (order.isComplete !== undefined) return
        Object.assign(order, { status, isComplete })
        this.#experiment.note(`answer ${order.attempt} ${status} ${isComplete ? 'complete' : 'none: the channel ended'}`)
        resolve(order)
      }
      const request = http.request({ agent, host: '127.0.0.1', port, method: 'POST', path: '/order/1', headers: { Host: ROUTE_HOST, 'Attempt-Id': order.attempt, 'Deadline-Remaining-Ms': '6000', 'Api-Key': API_KEY, 'Content-Length': '1' } })
      request.on('socket', () => {
        if (request.reusedSocket) this.onKeptChannels.push(order)
        this.#experiment.note(`sent ${order.attempt} POST /order/1 on a ${request.reusedSocket ? 'kept' : 'new'} channel`)
      })
      request.on('error', () => { end(0, false) })
      request.on('response', (response) => {
        response.resume()
        response.on('close', () => { end(response.statusCode, response.complete) })
      })
      request.end('x')
    })
  }
}

/** Returns the orders of ordinary clients that a replica ran and that got no answer as their kept channel ended. */
export function lostOrders (clients, replicas) {
  const ran = new Set(replicas.flatMap((replica) => replica.runs.map(({ attempt }) => attempt)))
  return clients.onKeptChannels.filter((order) => order.isComplete === false && ran.has(order.attempt))
}

/** Answers an order after `workMs` milliseconds, as a sound replica does. */
export function serveOrder (workMs) {
  return ({ response, attempt, run }) => {
    run()
    const timer = setTimeout(() => { response.writeHead(200, { 'attempt-id': attempt, 'replica-seal': `seal.${attempt}` }).end('done') }, workMs)
    response.on('close', () => { clearTimeout(timer) })
  }
}

/** Streams `events` events of a generation, one each `intervalMs` milliseconds, as a sound engine does. */
export function serveStream (events, intervalMs) {
  return ({ response, attempt, run }) => {
    run()
    response.writeHead(200, { 'attempt-id': attempt, 'replica-seal': `seal.${attempt}`, 'content-type': 'text/event-stream' })
    let id = 0
    const timer = setInterval(() => {
      id += 1
      response.write(`id: ${id}\ndata: ${id}\n\n`)
      if (id < events) return
      clearInterval(timer)
      response.end()
    }, intervalMs)
    response.on('close', () => { clearInterval(timer) })
  }
}

/** Starts replicas and registers them. */
export async function startReplicas (experiment, platform, service, count, answer) {
  const replicas = []
  for (let index = 1; index <= count; index++) {
    const replica = new Replica(experiment, `i-${service}-${index}`, service, answer)
    await replica.listen()
    platform.store.putObject('servers', replica.id, replica.entry())
    replicas.push(replica)
  }
  return replicas
}
