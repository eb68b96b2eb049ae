import * as store from './published-store.js'
import * as targets from './published-target.js'

/** Host name of the stand-in routes. */
export const HOST = 'plans.example'

/** A client account of the stand-in configuration. */
export interface PublishedAccount {
  name: string
  key: string
  prepaid: number
}

/** What may differ between two versions of the stand-in configuration. */
export interface ConfigurationChange {
  routes?: object[]
  maximumTargets?: number
  timeoutMs?: number
}

/** Stand-in of all that a gateway meets on the platform: the store with the operators' configuration, and targets. */
export class PublishedPlatform {
  readonly store = new store.PublishedStore()
  readonly targets: targets.PublishedTarget[] = []
  accounts: PublishedAccount[]
  #version = 0

  constructor (accounts: PublishedAccount[]) {
    this.accounts = accounts
  }

  /** Version of the newest configuration. */
  get version (): number {
    return this.#version
  }

  /** Starts a target and registers it. `engines` are model engines, `orders` a plain service. */
  async addTarget (service: 'engines' | 'orders', id: string, options: Partial<targets.PublishedTargetOptions> = {}): Promise<targets.PublishedTarget> {
    const target = new targets.PublishedTarget({
      id, service, availabilityZone: 'zone-a', slots: 32, workMs: 5, eventIntervalMs: 2, events: 6, ...options
    })
    await target.listen()
    this.targets.push(target)
    this.store.put('servers', target.options.id, target.entry())
    return target
  }

  /** Writes a new version of the configuration. */
  configure (change: ConfigurationChange = {}): void {
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

  runs (): targets.PublishedRun[] {
    return this.targets.flatMap((target) => target.runs)
  }

  /**
   * Tokens that the targets served to an account: each request's prompt once, however many targets read it, and all events
   * that left them.
   */
  served (account: string): number {
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
    for (const target of this.targets) target.close()
    this.store.close()
  }
}
