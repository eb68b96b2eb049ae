import type * as decisions from '@acaciaweir/decisions'
import * as operators from '@acaciaweir/operators'
import * as runtime from '@acaciaweir/runtime'
import * as crypto from 'node:crypto'
import type * as fleets from './fleet.js'

/** Time between two looks at all routers, in milliseconds. */
const PROBE_INTERVAL_MS = 200

/** Tries of a change while the platform does not answer or other operators come in between. */
const CHANGE_TRIES = 200

/** Pause between two tries of a change, in milliseconds. */
const CHANGE_PAUSE_MS = 250

interface ProbeKey {
  bearer: string
  acceptedAt: number
  seenBy: Set<string>
}

/**
 * Puts a new key of the first client account into each change, and asks all routers which keys they know.
 * So the time until a change is in force, and a change that is taken back, are seen from outside.
 */
export class ConfigurationProbe {
  readonly #fleet: fleets.Fleet
  readonly #clock: decisions.clock.Clock
  readonly #keys: ProbeKey[] = []
  readonly #loop: runtime.task.PeriodicTask
  #reverts = 0
  #slowestMs = 0
  #conflicts = 0

  constructor (fleet: fleets.Fleet, clock: decisions.clock.Clock) {
    this.#fleet = fleet
    this.#clock = clock
    this.#loop = new runtime.task.PeriodicTask({
      intervalMs: PROBE_INTERVAL_MS,
      action: async () => { await this.#probeAll() },
      onError: () => {},
      sleep: (milliseconds, signal) => clock.sleep(milliseconds, signal)
    })
  }

  /** Applies a change as an operator would, again and again until it is accepted. */
  async change (edit: (manifest: operators.manifest.Manifest) => void): Promise<void> {
    const changeId = crypto.randomUUID()
    for (let attempt = 0; attempt < CHANGE_TRIES; attempt += 1) {
      if (await this.#tryChange(edit, changeId) === 'accepted') return
      await this.#clock.sleep(CHANGE_PAUSE_MS)
    }
    throw new Error('a change was never accepted')
  }

  /** Lets operators change the same generation at once. Throws where more or fewer than one win. */
  async race (count: number): Promise<void> {
    const results = await Promise.all(Array.from({ length: count }, () => this.#tryChange(() => {}, crypto.randomUUID())))
    const accepted = results.filter((result) => result === 'accepted').length
    if (accepted !== 1) throw new Error(`${accepted} of ${count} racing operators were accepted`)
  }

  /** Ends the probes and returns what they saw. */
  async finish (): Promise<{ configurationReverts: number, configurationMs: number, operatorConflicts: number }> {
    await this.#loop.stop()
    return { configurationReverts: this.#reverts, configurationMs: Math.round(this.#slowestMs), operatorConflicts: this.#conflicts }
  }

  async #tryChange (edit: (manifest: operators.manifest.Manifest) => void, changeId: string): Promise<'accepted' | 'conflict' | 'failed'> {
    try {
      const present = await this.#fleet.store.read()
      if (present === undefined) return 'failed'
      const bearer = `probe-${changeId}`
      const manifest = structuredClone(present.manifest)
      manifest.clientAccounts[0].keyHashes.push(crypto.createHash('sha256').update(bearer).digest('hex'))
      edit(manifest)
      const result = await this.#fleet.store.apply(manifest, present.head.generation, changeId)
      if (result.kind === 'accepted') this.#keys.push({ bearer, acceptedAt: this.#clock.now(), seenBy: new Set() })
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
    const seen = key.seenBy.has(address)
    const status = await statusOf(address, key.bearer)
    if (status === 401 && seen) this.#reverts += 1
    if (status !== 200 || seen) return
    key.seenBy.add(address)
    this.#slowestMs = Math.max(this.#slowestMs, this.#clock.now() - key.acceptedAt)
  }
}

async function statusOf (address: string, bearer: string): Promise<number> {
  try {
    const answer = await runtime.httpCall.callHttp({ method: 'GET', url: address + '/v1/entry-hosts', headers: { authorization: `Bearer ${bearer}` }, idleTimeoutMs: 1000 })
    return answer.status
  } catch {
    return 0
  }
}
