import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as bills from './bill-segments.js'
import * as sealedJournals from './sealed-journal.js'

/** Bills in a journal above which they are moved to a segment. */
const BILLS_PER_SEGMENT = 500

/** Longest time between two writes of an idle journal, in milliseconds. */
const IDLE_WRITE_INTERVAL_MS = 2000

/** Longest wait for a witness, in milliseconds. */
const HOLD_TIMEOUT_MS = 700

/** Pause after a witness did not answer, in milliseconds. */
const HOLD_RETRY_PAUSE_MS = 100

/** Whether a record is safe from the loss of this router. */
export const Durability = { durable: 'durable', sealed: 'sealed', late: 'late' } as const
export type Durability = typeof Durability[keyof typeof Durability]

/** The incarnation that a log belongs to. Its address is known once it listens. */
export interface LogOwner extends Omit<decisions.journal.JournalOwner, 'peerAddress'> {
  peerAddress: () => string
}

/** What a record log works with. */
export interface RecordLogOptions {
  owner: LogOwner
  platform: platform.platformClient.PlatformClient
  peers: routers.peerClient.PeerClient
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  journalIntervalMs: number
  /** The most to dispatch beyond a journal written now. */
  headroom: () => decisions.headroom.TokensByBudget
  /** Called once, when another router has sealed the journal. */
  onSealed: () => void
}

interface Witness {
  member: decisions.membership.Member
  acknowledged: number
  sending: boolean
}

interface JournalWaiter {
  sequence: number
  resolve: () => void
}

interface Waiter {
  sequence: number
  resolve: (durability: Durability) => void
}

/**
 * The numbered records of one incarnation. A record is durable when a quorum of witnesses holds it
 * or the journal in the platform contains it. Owns the journal object and the copies' progress.
 */
export class RecordLog {
  readonly #options: RecordLogOptions
  readonly #journal: decisions.journalTypes.Journal
  readonly #key: string
  readonly #stop = new AbortController()
  /** What is left to do in the journal once it is sealed. */
  readonly sealedJournal: sealedJournals.SealedJournal
  #version: string | undefined
  #journaled = 0
  #tail: decisions.journalTypes.LogRecord[] = []
  #witnesses: Witness[] = []
  /** Witnesses named by a journal write whose outcome is open; until it is known, both sets have to hold a record. */
  #nextWitnesses: Witness[] | undefined
  #waiters: Waiter[] = []
  readonly #journalWaiters = new Set<JournalWaiter>()
  /** True while the last journal write had no answer. */
  #outage = false
  #nap = new AbortController()
  /** Windows of the journal that the platform is known to hold, and of the one that it may hold. */
  #window = new decisions.headroom.HeadroomUsage({})
  #nextWindow: decisions.headroom.HeadroomUsage | undefined
  #urgent = false
  #dirty = true
  #lastWriteAt = -Infinity
  #sealed = false
  #loop: Promise<void> | undefined

  constructor (options: RecordLogOptions) {
    this.#options = options
    this.#journal = decisions.journal.createJournal({ ...options.owner, peerAddress: '' }, [])
    this.#key = platform.objectKeys.journalKey(options.owner.incarnation)
    this.sealedJournal = new sealedJournals.SealedJournal({ key: this.#key, platform: options.platform, clock: options.clock, pauseMs: options.journalIntervalMs })
  }

  /** Starts writing the journal. */
  start (): void {
    this.#journal.peerAddress = this.#options.owner.peerAddress()
    this.#loop = this.#writeLoop()
  }

  /** True once another router has closed the journal. */
  get sealed (): boolean {
    return this.#sealed
  }

  /** True once the journal exists in the platform. */
  get registered (): boolean {
    return this.#version !== undefined
  }

  /** Incarnations that hold copies, or will once the journal names them. */
  get witnesses (): string[] {
    return this.#journal.witnesses
  }

  /** Time since the journal was last written, in milliseconds. */
  get journalAgeMs (): number {
    return this.#options.clock.now() - this.#lastWriteAt
  }

  /** State of a request that may run at most once; undefined where this incarnation never dispatched it. */
  claimState (claim: string): decisions.journalTypes.RunState | undefined {
    return this.#journal.claims[claim]
  }

  /** Notes that a budget's page may list this incarnation. */
  noteBudget (budget: string): void {
    if (this.#journal.budgets.includes(budget)) return
    this.#journal.budgets.push(budget)
    this.#dirty = true
  }

  /** Adds a record and starts copying it. Returns its sequence. */
  append (record: decisions.journalTypes.NewRecord): number {
    const numbered = { ...record, sequence: this.#journal.sequence + 1 }
    decisions.journal.applyRecord(this.#journal, numbered)
    this.#tail.push(numbered)
    this.#window.applyRecord(record)
    this.#nextWindow?.applyRecord(record)
    this.#dirty = true
    this.#copyToAll()
    return numbered.sequence
  }

  /**
   * Adds the record of a dispatch and waits until it is durable. One beyond the headroom has to reach the journal itself,
   * so that the journal always bounds what may have been spent.
   */
  async appendDispatch (intent: decisions.journalTypes.Intent, waitMs: number): Promise<Durability> {
    const fits = this.#window.fits(intent) && this.#nextWindow?.fits(intent) !== false
    const sequence = this.append({ kind: 'open', intent })
    if (fits) return await this.durable(sequence, waitMs)
    this.#hurry()
    await this.journaledBy(sequence, waitMs)
    if (this.#sealed) return Durability.sealed
    return sequence <= this.#journaled ? Durability.durable : Durability.late
  }

  /** Waits until a record is durable, the journal is sealed, or the time is over. */
  async durable (sequence: number, waitMs: number): Promise<Durability> {
    if (this.#sealed) return Durability.sealed
    if (sequence <= this.#durableSequence()) return Durability.durable
    if (this.#witnesses.length === 0) this.#hurry()
    return await new Promise((resolve) => {
      const waiter: Waiter = { sequence, resolve: (durability) => { clearTimeout(timer); resolve(durability) } }
      const timer = setTimeout(() => {
        this.#waiters = this.#waiters.filter((other) => other !== waiter)
        resolve(Durability.late)
      }, waitMs)
      this.#waiters.push(waiter)
    })
  }

  /** Waits until the journal in the platform contains a record, or the time is over. Returns at once while the platform does not answer. */
  async journaledBy (sequence: number, waitMs: number): Promise<void> {
    if (this.#sealed || this.#outage || sequence <= this.#journaled) return
    await new Promise<void>((resolve) => {
      const waiter: JournalWaiter = { sequence, resolve: () => { clearTimeout(timer); resolve() } }
      const timer = setTimeout(() => { this.#journalWaiters.delete(waiter); resolve() }, waitMs)
      this.#journalWaiters.add(waiter)
    })
  }

  /** Changes the routers that hold copies. Does nothing while an earlier change is not known to be in the journal. */
  useWitnesses (members: readonly decisions.membership.Member[]): void {
    if (this.#nextWitnesses !== undefined || this.#sealed) return
    const kept = new Map(this.#witnesses.map((witness) => [witness.member.incarnation, witness]))
    this.#nextWitnesses = members.map((member) => kept.get(member.incarnation) ?? { member, acknowledged: 0, sending: false })
    this.#journal.witnesses = members.map((member) => member.incarnation)
    this.#dirty = true
    this.#hurry()
    this.#copyToAll()
  }

  /** Writes what is left and stops. The last write is tried until it succeeds or the time is over. */
  async close (limitMs: number): Promise<void> {
    const deadline = this.#options.clock.now() + limitMs
    while (!this.#sealed && this.#journaled < this.#journal.sequence && this.#options.clock.now() < deadline) {
      this.#hurry()
      await this.#options.clock.sleep(this.#options.journalIntervalMs / 4)
    }
    this.#stop.abort()
    this.#nap.abort()
    await this.#loop
  }

  async #writeLoop (): Promise<void> {
    while (!this.#stop.signal.aborted && !this.#sealed) {
      if (!this.#urgent) await this.#rest()
      this.#urgent = false
      const idleFor = this.#options.clock.now() - this.#lastWriteAt
      if (!this.#dirty && idleFor < IDLE_WRITE_INTERVAL_MS) continue
      try {
        await this.#writeJournal()
      } catch (error) {
        this.#dirty = true
        this.#outage = true
        this.#wakeJournalWaiters(Infinity)
        this.#options.logger.warn({ event: 'journal-write-failed', step: 'write journal', peer: 'platform', reason: (error as Error).message })
        await this.#options.clock.sleep(this.#options.journalIntervalMs, this.#stop.signal)
      }
    }
  }

  async #rest (): Promise<void> {
    this.#nap = new AbortController()
    await this.#options.clock.sleep(this.#options.journalIntervalMs, this.#nap.signal)
  }

  #hurry (): void {
    this.#urgent = true
    this.#nap.abort()
  }

  async #writeJournal (): Promise<void> {
    await this.#moveBills()
    this.#journal.writes += 1
    this.#dirty = false
    const sequence = this.#journal.sequence
    const writes = this.#journal.writes
    const nextWitnesses = this.#nextWitnesses
    this.#nextWindow ??= new decisions.headroom.HeadroomUsage(this.#options.headroom())
    this.#journal.headroom = this.#nextWindow.headroom
    const result = await this.#options.platform.write(this.#key, this.#journal, this.#version)
    const contained = result.kind === 'written' ? this.#adoptVersion(result.version) : await this.#readBack(writes)
    if (!contained) { this.#dirty = true; return }
    this.#outage = false
    this.#window = this.#nextWindow
    this.#nextWindow = undefined
    this.#lastWriteAt = this.#options.clock.now()
    this.#journaled = sequence
    this.#tail = this.#tail.filter((record) => record.sequence > sequence)
    if (nextWitnesses !== undefined) {
      this.#witnesses = nextWitnesses
      this.#nextWitnesses = undefined
    }
    this.#wakeJournalWaiters(sequence)
    this.#wake()
  }

  #wakeJournalWaiters (sequence: number): void {
    for (const waiter of this.#journalWaiters) {
      if (waiter.sequence > sequence) continue
      this.#journalWaiters.delete(waiter)
      waiter.resolve()
    }
  }

  #adoptVersion (version: string): boolean {
    this.#version = version
    return true
  }

  /** Settles a write without an answer. Returns whether the journal contains it. */
  async #readBack (writes: number): Promise<boolean> {
    const stored = await this.#options.platform.read(this.#key)
    if (stored === undefined) {
      if (this.#version !== undefined) this.#becomeSealed()
      return false
    }
    const present = stored.value as decisions.journalTypes.Journal
    if (present.state !== decisions.journalTypes.JournalState.active) {
      this.#becomeSealed()
      return false
    }
    this.#version = stored.version
    return present.writes === writes
  }

  async #moveBills (): Promise<void> {
    if (this.#journal.bills.length < BILLS_PER_SEGMENT) return
    const moved = this.#journal.bills.slice()
    await bills.writeSegment(this.#options.platform, this.#journal.incarnation, this.#journal.nextSegment, moved)
    this.#journal.bills = this.#journal.bills.slice(moved.length)
    this.#journal.nextSegment += 1
  }

  async #copyTo (witness: Witness): Promise<void> {
    if (witness.sending || this.#sealed) return
    witness.sending = true
    while (this.#isUsed(witness)) {
      const records = this.#tail.filter((record) => record.sequence > witness.acknowledged)
      if (records.length === 0) break
      await this.#sendRecords(witness, records)
    }
    witness.sending = false
  }

  async #sendRecords (witness: Witness, records: decisions.journalTypes.LogRecord[]): Promise<void> {
    try {
      const request = { witness: witness.member.incarnation, incarnation: this.#journal.incarnation, records, journaled: this.#journaled }
      const reply = await this.#options.peers.call(witness.member.peerAddress, 'Hold', request, HOLD_TIMEOUT_MS)
      if (reply.sealed) { this.#becomeSealed(); return }
      witness.acknowledged = records[records.length - 1].sequence
      this.#wake()
    } catch {
      await this.#options.clock.sleep(HOLD_RETRY_PAUSE_MS, this.#stop.signal)
    }
  }

  #isUsed (witness: Witness): boolean {
    if (this.#sealed || this.#stop.signal.aborted) return false
    return this.#witnesses.includes(witness) || this.#nextWitnesses?.includes(witness) === true
  }

  #durableSequence (): number {
    let held = heldByQuorum(this.#witnesses)
    if (this.#nextWitnesses !== undefined) held = Math.min(held, heldByQuorum(this.#nextWitnesses))
    return Math.max(this.#journaled, held)
  }

  #copyToAll (): void {
    const witnesses = new Set([...this.#witnesses, ...this.#nextWitnesses ?? []])
    for (const witness of witnesses) void this.#copyTo(witness)
  }

  #wake (): void {
    const reached = this.#durableSequence()
    const ready = this.#waiters.filter((waiter) => waiter.sequence <= reached)
    if (ready.length === 0) return
    this.#waiters = this.#waiters.filter((waiter) => waiter.sequence > reached)
    for (const waiter of ready) waiter.resolve(Durability.durable)
  }

  #becomeSealed (): void {
    if (this.#sealed) return
    this.#sealed = true
    this.#nap.abort()
    const waiters = this.#waiters
    this.#waiters = []
    this.#wakeJournalWaiters(Infinity)
    for (const waiter of waiters) waiter.resolve(Durability.sealed)
    void this.sealedJournal.gatherOwn(this.#tail)
    this.#options.logger.warn({ event: 'sealed', incarnation: this.#journal.incarnation, step: 'write journal', peer: 'platform' })
    this.#options.onSealed()
  }
}

/** Highest sequence up to which a quorum of the witnesses holds all records; 0 without witnesses. */
function heldByQuorum (witnesses: readonly Witness[]): number {
  const acknowledged = witnesses.map((witness) => witness.acknowledged).sort((left, right) => right - left)
  return acknowledged[decisions.journal.witnessQuorum(acknowledged.length) - 1] ?? 0
}
