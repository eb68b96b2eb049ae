import * as store from './store-server.js'
import * as targets from './target-server.js'

/** Host name of all routes in the stand-in configuration. */
export const ROUTE_HOST = 'plans.example'

/** Time after a crash until the target is back under a new id, and until its old entry lapses, in milliseconds. */
const RESTART_MS = 1000
const ENTRY_LAPSE_MS = 1500

/** A client account in the stand-in configuration. */
export interface ClientAccount {
  name: string
  /** API key. */
  apiKey: string
  /** Prepaid budget in tokens. */
  prepaidTokens: number
}

/** Differences of a configuration version from the default stand-in configuration. */
export interface ConfigurationOverrides {
  /** Routes in addition to the default ones. */
  routes?: object[]
  maximumTargets?: number
  timeoutMs?: number
  /** Connections that each target accepts from all gateways together. */
  maximumConnections?: number
  /** Seconds for which model engines are cold after their start, and requests a second that they take meanwhile. */
  coldStart?: { seconds: number, perSecond: number }
  /** Largest body of a request, in bytes. */
  bodyBytes?: number
}

/** Time for which a target is cold, and the requests a second that it takes meanwhile. */
export interface ColdPhase {
  milliseconds: number
  perSecond: number
}

/** A stand-in for the platform around a gateway: the store with the operators' configuration, and targets. */
export class PlatformStandIn {
  readonly store = new store.StoreServer()
  readonly targets: targets.TargetServer[] = []
  accounts: ClientAccount[]
  /** Prompt parts under which the targets crash. */
  readonly crashingParts = new Map<string, targets.CrashMoment>()
  /** Times at which targets crashed. */
  readonly crashTimes: number[] = []
  readonly #crashedTargets: targets.TargetServer[] = []
  readonly #timers = new Set<NodeJS.Timeout>()
  #version = 0

  constructor (accounts: ClientAccount[]) {
    this.accounts = accounts
  }

  /** Version of the newest configuration. */
  get version (): number {
    return this.#version
  }

  /** Starts a target and registers it. The service `engines` consists of model engines; `orders` is a plain service. */
  async addTarget (service: 'engines' | 'orders', id: string, options: Partial<targets.TargetOptions> = {}, cold?: ColdPhase): Promise<targets.TargetServer> {
    const target = new targets.TargetServer({
      id, service, availabilityZone: 'zone-a', slots: 32, workMs: 5, eventIntervalMs: 2, events: 6, answerBytes: 0, ...options
    })
    target.crashingParts = this.crashingParts
    target.onCrash = () => { this.#replaceCrashed(target, service) }
    await target.listen()
    if (cold !== undefined) target.becomeCold(cold.milliseconds, cold.perSecond)
    this.targets.push(target)
    this.store.putObject('servers', target.options.id, target.registryEntry())
    return target
  }

  /** Makes a running target cold, and tells so in its registration. */
  makeCold (target: targets.TargetServer, { milliseconds, perSecond }: ColdPhase): void {
    target.becomeCold(milliseconds, perSecond)
    this.store.putObject('servers', target.options.id, target.registryEntry())
  }

  /** Starts a new target in place of one that crashed, under a new id. */
  #replaceCrashed (target: targets.TargetServer, service: 'engines' | 'orders'): void {
    this.crashTimes.push(performance.now())
    this.#crashedTargets.push(target)
    this.targets.splice(this.targets.indexOf(target), 1)
    const [base, restarts] = target.options.id.split('-restart-')
    const id = `${base}-restart-${Number(restarts ?? 0) + 1}`
    this.#startTimer(RESTART_MS, () => { void this.addTarget(service, id, { ...target.options, id }) })
    this.#startTimer(ENTRY_LAPSE_MS, () => { this.store.removeObject('servers', target.options.id) })
  }

  #startTimer (milliseconds: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer)
      action()
    }, milliseconds)
    this.#timers.add(timer)
  }

  /** Publishes a new version of the configuration. */
  configure (overrides: ConfigurationOverrides = {}): void {
    this.#version += 1
    const commonFields = { Host: ROUTE_HOST, TimeoutMs: overrides.timeoutMs ?? 5000, TargetLatencyMs: 500, Priority: 1, MaxAttempts: overrides.maximumTargets ?? 2, AllowAnonymous: false }
    this.store.putObject('config', 'main', {
      Version: this.#version,
      Routes: [
        { ...commonFields, Name: 'plan', PathPrefix: '/plan/', Kind: 'streaming', Service: 'engines', Sticky: true, Resumable: false },
        { ...commonFields, Name: 'reply', PathPrefix: '/reply/', Kind: 'streaming', Service: 'engines', Sticky: true, Resumable: true },
        { ...commonFields, Name: 'order', PathPrefix: '/order/', Kind: 'non_idempotent', Service: 'orders' },
        { ...commonFields, Name: 'stock', PathPrefix: '/stock/', Kind: 'idempotent', Service: 'orders' },
        ...(overrides.routes ?? [])
      ],
      Services: [
        { Name: 'engines', HealthPath: '/health', MaxConnections: overrides.maximumConnections ?? 200, ColdStartS: overrides.coldStart?.seconds ?? 0, ColdPerS: overrides.coldStart?.perSecond ?? 0, Engine: { Slots: 32, KvCapacityTokens: 100_000, Stride: 1 } },
        { Name: 'orders', HealthPath: '/health', MaxConnections: overrides.maximumConnections ?? 200 }
      ],
      Limits: { MaxHeaderBytes: 16_384, MaxBodyBytes: overrides.bodyBytes ?? 65_536, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000 },
      Tenants: this.accounts.map((account) => ({ Name: account.name, ApiKeys: [account.apiKey], Prepaid: account.prepaidTokens }))
    })
  }

  /** Returns the runs of all targets, also of those that have crashed. */
  runs (): targets.TargetRun[] {
    return [...this.#crashedTargets, ...this.targets].flatMap((target) => target.runs)
  }

  /**
   * Returns the tokens that the targets served to a client account: the prompt of each request once, however many targets
   * read it, and one token for each event sent.
   */
  servedTokens (account: string): number {
    const prompts = new Map<string, number>()
    let events = 0
    for (const run of this.runs()) {
      if (run.account !== account || run.tokenCounts === undefined) continue
      prompts.set(run.attemptId, Number(run.tokenCounts.split(',')[0]))
      events += run.sentEvents
    }
    return [...prompts.values()].reduce((sum, tokens) => sum + tokens, events)
  }

  close (): void {
    for (const timer of this.#timers) clearTimeout(timer)
    for (const target of this.targets) target.close()
    this.store.close()
  }
}
