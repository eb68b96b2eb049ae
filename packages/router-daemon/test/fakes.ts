import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import type * as incarnations from '../src/incarnation.js'
import * as ledgers from '../src/ledger.js'
import * as logs from '../src/record-log.js'

/** A clock that a test advances by setting `timeMs`. Sleeping does not advance it. */
export class FakeClock extends decisions.clock.Clock {
  timeMs = 1000

  override now (): number {
    return this.timeMs
  }

  override wallNow (): number {
    return this.timeMs
  }

  override async sleep (): Promise<void> {
    await new Promise((resolve) => { setImmediate(resolve) })
  }
}

/** A platform store in memory, with a hook after each write that can lose its answer, and a switch for an outage. */
export class FakePlatform extends platform.platformClient.PlatformClient {
  readonly callCounts = { read: 0, write: 0, list: 0, watch: 0 }
  readonly #objects = new Map<string, platform.platformClient.StoredObject>()
  #version = 0
  /** Called after a write has taken effect. Returns true to lose the answer. */
  afterWrite: (key: string, value: unknown) => boolean = () => false
  isDown = false

  override async read (key: string): Promise<platform.platformClient.StoredObject | undefined> {
    this.#throwIfDown('read')
    return structuredClone(this.#objects.get(key))
  }

  override async write (key: string, value: unknown, expectedVersion: string | undefined): Promise<platform.platformClient.WriteResult> {
    if (this.isDown) return { kind: 'unknown', reason: 'down' }
    if (this.#objects.get(key)?.version !== expectedVersion) return { kind: 'conflict' }
    const version = this.#nextVersion()
    this.#objects.set(key, { key, version, value: structuredClone(value) })
    return this.afterWrite(key, value) ? { kind: 'unknown', reason: 'answer lost' } : { kind: 'written', version }
  }

  override async remove (key: string, expectedVersion: string): Promise<platform.platformClient.WriteResult> {
    if (this.#objects.get(key)?.version !== expectedVersion) return { kind: 'conflict' }
    this.#objects.delete(key)
    return { kind: 'written', version: this.#nextVersion() }
  }

  override async list (prefix: string): Promise<platform.platformClient.StoredObject[]> {
    this.#throwIfDown('list')
    return structuredClone([...this.#objects.values()].filter((object) => object.key.startsWith(prefix)))
  }

  override async watch (key: string): Promise<platform.platformClient.StoredObject | undefined> {
    return await this.read(key)
  }

  override async readHostList (): Promise<platform.platformClient.HostList> {
    return { hosts: [], targets: [] }
  }

  /** Changes an object as another router would, regardless of injected faults. */
  updateObject (key: string, decide: (value: unknown) => unknown): void {
    this.#objects.set(key, { key, version: this.#nextVersion(), value: structuredClone(decide(this.valueAt(key))) })
  }

  /** Returns the stored value of an object, regardless of injected faults. */
  valueAt (key: string): unknown {
    return this.#objects.get(key)?.value
  }

  #nextVersion (): string {
    this.#version += 1
    return String(this.#version)
  }

  #throwIfDown (step: string): void {
    if (this.isDown) throw new platform.platformClient.PlatformUnavailable(step, 'down')
  }
}

/** Limits of the budget in the tests. */
export const testLimits: decisions.ledgerTypes.BudgetLimits = { generation: 1, totalTokens: 1000, capTokens: { alpha: 800, beta: 800 } }

/** Creates the incarnation of a router without peers, on a fake platform and clock. */
export function createIncarnation (id: string, client: FakePlatform, clock: FakeClock): incarnations.Incarnation {
  const logger = runtime.logging.createLogger('silent')
  const peers = new routers.peerClient.PeerClient()
  const log: logs.RecordLog = new logs.RecordLog({
    owner: { incarnation: id, host: id, availabilityZone: 'zone-a', process: id, peerAddress: () => '' },
    platform: client,
    peers,
    clock,
    logger,
    journalIntervalMs: 5,
    headroom: () => ledger.headroom(1),
    onSealed: () => {}
  })
  const ledger = new ledgers.Ledger({
    incarnation: id,
    platform: client,
    peers,
    clock,
    logger,
    policy: { horizonSeconds: 10, shareOfRemaining: 0.1, minimumTokens: 50 },
    limitsOf: () => testLimits,
    addressOf: () => undefined,
    recordBudget: (budget) => { log.recordBudget(budget) }
  })
  return { id, log, ledger, admittingClaims: new Set(), refusedClaims: new Set(), unprovenWithdrawals: new Set() }
}
