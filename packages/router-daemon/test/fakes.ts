import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import type * as incarnations from '../src/incarnation.js'
import * as ledgers from '../src/ledger.js'
import * as logs from '../src/record-log.js'

/** A clock that stands still until it is moved. Sleeping takes no time on it. */
export class FakeClock extends decisions.clock.Clock {
  time = 1000

  override now (): number {
    return this.time
  }

  override wallNow (): number {
    return this.time
  }

  override async sleep (): Promise<void> {
    await new Promise((resolve) => { setImmediate(resolve) })
  }
}

/** Objects in memory, with a hook after each write and faults by key. */
export class FakePlatform extends platform.platformClient.PlatformClient {
  readonly counts = { read: 0, write: 0, list: 0, watch: 0 }
  readonly #objects = new Map<string, platform.platformClient.StoredObject>()
  #version = 0
  /** Called after a write has taken effect; returns true where its answer is lost. */
  afterWrite: (key: string, value: unknown) => boolean = () => false
  down = false

  override async read (key: string): Promise<platform.platformClient.StoredObject | undefined> {
    this.#requireUp('read')
    return structuredClone(this.#objects.get(key))
  }

  override async write (key: string, value: unknown, expectedVersion: string | undefined): Promise<platform.platformClient.WriteResult> {
    if (this.down) return { kind: 'unknown', reason: 'down' }
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
    this.#requireUp('list')
    return structuredClone([...this.#objects.values()].filter((object) => object.key.startsWith(prefix)))
  }

  override async watch (key: string): Promise<platform.platformClient.StoredObject | undefined> {
    return await this.read(key)
  }

  override async hosts (): Promise<platform.platformClient.HostList> {
    return { hosts: [], targets: [] }
  }

  /** Changes an object as another router would, whatever the faults. */
  change (key: string, decide: (value: unknown) => unknown): void {
    this.#objects.set(key, { key, version: this.#nextVersion(), value: structuredClone(decide(this.objectAt(key))) })
  }

  /** Reads an object's value for a check. */
  objectAt (key: string): unknown {
    return this.#objects.get(key)?.value
  }

  #nextVersion (): string {
    this.#version += 1
    return String(this.#version)
  }

  #requireUp (step: string): void {
    if (this.down) throw new platform.platformClient.PlatformUnavailable(step, 'down')
  }
}

/** Limits of the budget that the tests draw on. */
export const testLimits: decisions.ledgerTypes.BudgetLimits = { generation: 1, totalTokens: 1000, capTokens: { alpha: 800, beta: 800 } }

/** An incarnation of a router without other routers, on a fake platform and clock. */
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
    noteBudget: (budget) => { log.noteBudget(budget) }
  })
  return { id, log, ledger, admitting: new Set(), refused: new Set(), unproved: new Set() }
}
