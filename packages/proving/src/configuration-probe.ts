import type * as decisions from '@acaciaweir/decisions'
import * as operators from '@acaciaweir/operators'
import * as runtime from '@acaciaweir/runtime'
import * as crypto from 'node:crypto'
import type * as fleets from './fleet.js'

const PROBE_INTERVAL_MS = 200

/** Allows for attempts that fail while the platform is down or that conflict with another operator's change. */
const MAXIMUM_CHANGE_ATTEMPTS = 200

const CHANGE_RETRY_PAUSE_MS = 250

interface ProbeKey {
  bearer: string
  /** Time at which the platform accepted the change, in milliseconds of the probe's clock. */
  acceptedAt: number
  /** Caller addresses of the routers that have accepted the key. */
  activeOn: Set<string>
}

/**
 * Measures from outside when a configuration change comes into force on each router, and whether one is reverted.
 * It adds a new key of the first client account to each change and calls every running router with each key.
 */
export class ConfigurationProbe {
  readonly #fleet: fleets.Fleet
  readonly #clock: decisions.clock.Clock
  readonly #keys: ProbeKey[] = []
  readonly #probeTask: runtime.task.PeriodicTask
  #reverts = 0
  #slowestMs = 0
  #conflicts = 0

  constructor (fleet: fleets.Fleet, clock: decisions.clock.Clock) {
    this.#fleet = fleet
    this.#clock = clock
    this.#probeTask = new runtime.task.PeriodicTask({
      intervalMs: PROBE_INTERVAL_MS,
      action: async () => { await this.#probeAll() },
      onError: () => {},
      sleep: (milliseconds, signal) => clock.sleep(milliseconds, signal)
    })
  }

  /** Applies a change as an operator does and retries until it is accepted. Throws an Error after MAXIMUM_CHANGE_ATTEMPTS. */
  async change (edit: (manifest: operators.manifest.Manifest) => void): Promise<void> {
    const changeId = crypto.randomUUID()
    for (let attempt = 0; attempt < MAXIMUM_CHANGE_ATTEMPTS; attempt += 1) {
      if (await this.#tryChange(edit, changeId) === 'accepted') return
      await this.#clock.sleep(CHANGE_RETRY_PAUSE_MS)
    }
    throw new Error('every attempt to apply the configuration change failed')
  }

  /** Applies concurrent changes by `count` operators. Throws an Error unless exactly one is accepted. */
  async race (count: number): Promise<void> {
    const results = await Promise.all(Array.from({ length: count }, () => this.#tryChange(() => {}, crypto.randomUUID())))
    const accepted = results.filter((result) => result === 'accepted').length
    if (accepted !== 1) throw new Error(`expected 1 of ${count} concurrent configuration changes to be accepted, got ${accepted}`)
  }

  /** Stops probing and returns the measurements. */
  async finish (): Promise<{ configurationReverts: number, configurationMs: number, operatorConflicts: number }> {
    await this.#probeTask.stop()
    return { configurationReverts: this.#reverts, configurationMs: Math.round(this.#slowestMs), operatorConflicts: this.#conflicts }
  }

  async #tryChange (edit: (manifest: operators.manifest.Manifest) => void, changeId: string): Promise<'accepted' | 'conflict' | 'failed'> {
    try {
      const current = await this.#fleet.configurationStore.read()
      if (current === undefined) return 'failed'
      const bearer = `probe-${changeId}`
      const manifest = structuredClone(current.manifest)
      manifest.clientAccounts[0].keyHashes.push(crypto.createHash('sha256').update(bearer).digest('hex'))
      edit(manifest)
      const result = await this.#fleet.configurationStore.apply(manifest, current.head.generation, changeId)
      if (result.kind === 'accepted') this.#keys.push({ bearer, acceptedAt: this.#clock.now(), activeOn: new Set() })
      else this.#conflicts += 1
      return result.kind
    } catch {
      return 'failed'
    }
  }

  async #probeAll (): Promise<void> {
    const running = this.#fleet.routers.filter((router) => router.process !== undefined)
    for (const key of this.#keys) await Promise.all(running.map((router) => this.#probe(key, router.callerAddress)))
  }

  async #probe (key: ProbeKey, address: string): Promise<void> {
    const wasActive = key.activeOn.has(address)
    const status = await fetchStatus(address, key.bearer)
    if (status === 401 && wasActive) this.#reverts += 1
    if (status !== 200 || wasActive) return
    key.activeOn.add(address)
    this.#slowestMs = Math.max(this.#slowestMs, this.#clock.now() - key.acceptedAt)
  }
}

/** Returns the HTTP status, or 0 if the router does not answer. */
async function fetchStatus (address: string, bearer: string): Promise<number> {
  try {
    const answer = await runtime.httpCall.callHttp({ method: 'GET', url: address + '/v1/entry-hosts', headers: { authorization: `Bearer ${bearer}` }, idleTimeoutMs: 1000 })
    return answer.status
  } catch {
    return 0
  }
}
