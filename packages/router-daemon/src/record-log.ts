import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as billSegments from './bill-segments.js'
import * as sealedJournals from './sealed-journal.js'

/** Number of bills in a journal from which on they are moved to a segment. */
const BILLS_PER_SEGMENT = 500

/** Time between two writes of an unchanged journal, in milliseconds. */
const IDLE_WRITE_INTERVAL_MS = 2000

/** Timeout of a `Hold` call to a witness, in milliseconds. */
const HOLD_TIMEOUT_MS = 700

/** Backoff after a failed `Hold` call, in milliseconds. */
const HOLD_RETRY_BACKOFF_MS = 100

/**
 * Result of a wait for durability. `durable`: the record survives the loss of this router. `sealed`: another router has
 * sealed the journal. `late`: the wait timed out.
 */
export const Durability = { durable: 'durable', sealed: 'sealed', late: 'late' } as const
export type Durability = typeof Durability[keyof typeof Durability]

/** The incarnation that writes a log. Its peer address is a function, because it is known only once the server listens. */
export interface LogOwner extends Omit<decisions.journal.JournalOwner, 'peerAddress'> {
  peerAddress: () => string
}

/** Dependencies of a record log. */
export interface RecordLogOptions {
  owner: LogOwner
  platform: platform.platformClient.PlatformClient
  peers: routers.peerClient.PeerClient
  clock: decisions.clock.Clock
  logger: runtime.logging.Logger
  journalIntervalMs: number
  /** Returns the tokens that dispatches may reserve beyond a journal that is written now. */
  headroom: () => decisions.headroom.TokensByBudget
  /** Called once, when another router has sealed the journal. */
  onSealed: () => void
}

/** A witness and the replication of records to it. */
interface WitnessProgress {
  member: decisions.membership.Member
  /** Highest sequence number that the witness has acknowledged. */
  acknowledgedSequence: number
  isSending: boolean
}

/** Waits until the stored journal contains a record. */
interface JournalWaiter {
  sequence: number
  resolve: () => void
}

/** Waits until a record is durable. */
interface DurabilityWaiter {
  sequence: number
  resolve: (durability: Durability) => void
}

/**
 * Replicated log of one incarnation. A record is durable when a quorum of witnesses holds it or the journal in the
 * platform contains it. Writes the journal periodically and replicates the records beyond it to the witnesses.
 */
export class RecordLog {
  readonly #options: RecordLogOptions
  readonly #journal: decisions.journalTypes.Journal
  readonly #key: string
  readonly #stop = new AbortController()
  /** Updates of the journal that its owner may still make after another router has sealed it. */
  readonly sealedJournal: sealedJournals.SealedJournal
  #version: string | undefined
  #journaledSequence = 0
  /** Records that the stored journal does not contain yet. */
  #tail: decisions.journalTypes.LogRecord[] = []
  #witnesses: WitnessProgress[] = []
  /** Witnesses of a journal write whose outcome is not known yet. Until it is, a record needs a quorum of both sets. */
  #pendingWitnesses: WitnessProgress[] | undefined
  #durabilityWaiters: DurabilityWaiter[] = []
  readonly #journalWaiters = new Set<JournalWaiter>()
  /** Set while journal writes fail. Waits for the journal then return at once. */
  #hasWriteFailed = false
  #pauseAbort = new AbortController()
  /** Headroom usage since the journal version that the platform is known to store. */
  #usage = new decisions.headroom.HeadroomUsage({})
  /** Headroom usage since the version that the platform may store, while the outcome of its write is not known. */
  #pendingUsage: decisions.headroom.HeadroomUsage | undefined
  #isWriteUrgent = false
  #isDirty = true
  #lastWriteAt = -Infinity
  #isSealed = false
  #loop: Promise<void> | undefined

  constructor (options: RecordLogOptions) {
    this.#options = options
    this.#journal = decisions.journal.createJournal({ ...options.owner, peerAddress: '' }, [])
    this.#key = platform.objectKeys.journalKey(options.owner.incarnation)
    this.sealedJournal = new sealedJournals.SealedJournal({ key: this.#key, platform: options.platform, clock: options.clock, retryIntervalMs: options.journalIntervalMs })
  }

  /** Starts the periodic journal writes. */
  start (): void {
    this.#journal.peerAddress = this.#options.owner.peerAddress()
    this.#loop = this.#writeLoop()
  }

  /** Whether another router has sealed (fenced) the journal. */
  get isSealed (): boolean {
    return this.#isSealed
  }

  /** Whether the platform stores the journal. */
  get isRegistered (): boolean {
    return this.#version !== undefined
  }

  /** Incarnations of the witnesses, including those of a journal write whose outcome is not known yet. */
  get witnesses (): string[] {
    return this.#journal.witnesses
  }

  /** Time since the journal was last written, in milliseconds. */
  get journalAgeMs (): number {
    return this.#options.clock.now() - this.#lastWriteAt
  }

  /** Returns the state of an at-most-once request; undefined if this incarnation never dispatched it. */
  claimState (claim: string): decisions.journalTypes.RunState | undefined {
    return this.#journal.claims[claim]
  }

  /** Records that a budget's page may list this incarnation, so that recovery folds the incarnation into it. */
  recordBudget (budget: string): void {
    if (this.#journal.budgets.includes(budget)) return
    this.#journal.budgets.push(budget)
    this.#isDirty = true
  }

  /** Appends a record and starts to replicate it. Returns its sequence number. */
  append (record: decisions.journalTypes.NewRecord): number {
    const numbered = { ...record, sequence: this.#journal.sequence + 1 }
    decisions.journal.applyRecord(this.#journal, numbered)
    this.#tail.push(numbered)
    this.#usage.applyRecord(record)
    this.#pendingUsage?.applyRecord(record)
    this.#isDirty = true
    this.#replicate()
    return numbered.sequence
  }

  /**
   * Appends the record of a dispatch and waits up to `waitMs` until it is durable. A record that exceeds the headroom is
   * durable only once the stored journal contains it, so that the journal always bounds what may have been spent.
   */
  async appendDispatch (intent: decisions.journalTypes.Intent, waitMs: number): Promise<Durability> {
    const fitsHeadroom = this.#usage.fits(intent) && this.#pendingUsage?.fits(intent) !== false
    const sequence = this.append({ kind: 'open', intent })
    if (fitsHeadroom) return await this.waitUntilDurable(sequence, waitMs)
    this.#writeSoon()
    await this.waitUntilJournaled(sequence, waitMs)
    if (this.#isSealed) return Durability.sealed
    return sequence <= this.#journaledSequence ? Durability.durable : Durability.late
  }

  /** Waits until a record is durable, the journal is sealed, or `waitMs` have passed. */
  async waitUntilDurable (sequence: number, waitMs: number): Promise<Durability> {
    if (this.#isSealed) return Durability.sealed
    if (sequence <= this.#durableSequence()) return Durability.durable
    if (this.#witnesses.length === 0) this.#writeSoon()
    return await new Promise((resolve) => {
      const waiter: DurabilityWaiter = { sequence, resolve: (durability) => { clearTimeout(timer); resolve(durability) } }
      const timer = setTimeout(() => {
        this.#durabilityWaiters = this.#durabilityWaiters.filter((other) => other !== waiter)
        resolve(Durability.late)
      }, waitMs)
      this.#durabilityWaiters.push(waiter)
    })
  }

  /**
   * Waits until the stored journal contains a record, the journal is sealed, or `waitMs` have passed. Returns at once
   * while journal writes fail.
   */
  async waitUntilJournaled (sequence: number, waitMs: number): Promise<void> {
    if (this.#isSealed || this.#hasWriteFailed || sequence <= this.#journaledSequence) return
    await new Promise<void>((resolve) => {
      const waiter: JournalWaiter = { sequence, resolve: () => { clearTimeout(timer); resolve() } }
      const timer = setTimeout(() => { this.#journalWaiters.delete(waiter); resolve() }, waitMs)
      this.#journalWaiters.add(waiter)
    })
  }

  /**
   * Replaces the witnesses. Does nothing if the journal is sealed or while an earlier change is not known to be in the
   * stored journal.
   */
  replaceWitnesses (members: readonly decisions.membership.Member[]): void {
    if (this.#pendingWitnesses !== undefined || this.#isSealed) return
    const kept = new Map(this.#witnesses.map((witness) => [witness.member.incarnation, witness]))
    this.#pendingWitnesses = members.map((member) => kept.get(member.incarnation) ?? { member, acknowledgedSequence: 0, isSending: false })
    this.#journal.witnesses = members.map((member) => member.incarnation)
    this.#isDirty = true
    this.#writeSoon()
    this.#replicate()
  }

  /** Writes the remaining records to the journal and stops. Retries failed writes until `limitMs` have passed. */
  async close (limitMs: number): Promise<void> {
    const deadline = this.#options.clock.now() + limitMs
    while (!this.#isSealed && this.#journaledSequence < this.#journal.sequence && this.#options.clock.now() < deadline) {
      this.#writeSoon()
      await this.#options.clock.sleep(this.#options.journalIntervalMs / 4)
    }
    this.#stop.abort()
    this.#pauseAbort.abort()
    await this.#loop
  }

  async #writeLoop (): Promise<void> {
    while (!this.#stop.signal.aborted && !this.#isSealed) {
      if (!this.#isWriteUrgent) await this.#pauseUntilNextWrite()
      this.#isWriteUrgent = false
      const idleMs = this.#options.clock.now() - this.#lastWriteAt
      if (!this.#isDirty && idleMs < IDLE_WRITE_INTERVAL_MS) continue
      try {
        await this.#writeJournal()
      } catch (error) {
        this.#isDirty = true
        this.#hasWriteFailed = true
        this.#resolveJournalWaiters(Infinity)
        this.#options.logger.warn({ event: 'journal-write-failed', step: 'write journal', peer: 'platform', reason: (error as Error).message })
        await this.#options.clock.sleep(this.#options.journalIntervalMs, this.#stop.signal)
      }
    }
  }

  async #pauseUntilNextWrite (): Promise<void> {
    this.#pauseAbort = new AbortController()
    await this.#options.clock.sleep(this.#options.journalIntervalMs, this.#pauseAbort.signal)
  }

  #writeSoon (): void {
    this.#isWriteUrgent = true
    this.#pauseAbort.abort()
  }

  /** Writes the journal and resolves the waits for its records. Throws PlatformUnavailable. */
  async #writeJournal (): Promise<void> {
    await this.#moveBillsToSegment()
    this.#journal.writes += 1
    this.#isDirty = false
    const sequence = this.#journal.sequence
    const writes = this.#journal.writes
    const pendingWitnesses = this.#pendingWitnesses
    this.#pendingUsage ??= new decisions.headroom.HeadroomUsage(this.#options.headroom())
    this.#journal.headroom = this.#pendingUsage.headroom
    const result = await this.#options.platform.write(this.#key, this.#journal, this.#version)
    const isContained = result.kind === 'written' ? this.#setVersion(result.version) : await this.#resolveUnknownWrite(writes)
    if (!isContained) { this.#isDirty = true; return }
    this.#hasWriteFailed = false
    this.#usage = this.#pendingUsage
    this.#pendingUsage = undefined
    this.#lastWriteAt = this.#options.clock.now()
    this.#journaledSequence = sequence
    this.#tail = this.#tail.filter((record) => record.sequence > sequence)
    if (pendingWitnesses !== undefined) {
      this.#witnesses = pendingWitnesses
      this.#pendingWitnesses = undefined
    }
    this.#resolveJournalWaiters(sequence)
    this.#resolveDurabilityWaiters()
  }

  #resolveJournalWaiters (sequence: number): void {
    for (const waiter of this.#journalWaiters) {
      if (waiter.sequence > sequence) continue
      this.#journalWaiters.delete(waiter)
      waiter.resolve()
    }
  }

  #setVersion (version: string): boolean {
    this.#version = version
    return true
  }

  /** Reads the journal after a write that was not confirmed. Returns whether the write took effect. */
  async #resolveUnknownWrite (writes: number): Promise<boolean> {
    const stored = await this.#options.platform.read(this.#key)
    if (stored === undefined) {
      if (this.#version !== undefined) this.#markSealed()
      return false
    }
    const current = stored.value as decisions.journalTypes.Journal
    if (current.state !== decisions.journalTypes.JournalState.active) {
      this.#markSealed()
      return false
    }
    this.#version = stored.version
    return current.writes === writes
  }

  async #moveBillsToSegment (): Promise<void> {
    if (this.#journal.bills.length < BILLS_PER_SEGMENT) return
    const moved = this.#journal.bills.slice()
    await billSegments.writeSegment(this.#options.platform, this.#journal.incarnation, this.#journal.nextSegment, moved)
    this.#journal.bills = this.#journal.bills.slice(moved.length)
    this.#journal.nextSegment += 1
  }

  async #replicateTo (witness: WitnessProgress): Promise<void> {
    if (witness.isSending || this.#isSealed) return
    witness.isSending = true
    while (this.#isActiveWitness(witness)) {
      const records = this.#tail.filter((record) => record.sequence > witness.acknowledgedSequence)
      if (records.length === 0) break
      await this.#sendRecords(witness, records)
    }
    witness.isSending = false
  }

  async #sendRecords (witness: WitnessProgress, records: decisions.journalTypes.LogRecord[]): Promise<void> {
    try {
      const request = { witness: witness.member.incarnation, incarnation: this.#journal.incarnation, records, journaled: this.#journaledSequence }
      const reply = await this.#options.peers.call(witness.member.peerAddress, 'Hold', request, HOLD_TIMEOUT_MS)
      if (reply.sealed) { this.#markSealed(); return }
      witness.acknowledgedSequence = records[records.length - 1].sequence
      this.#resolveDurabilityWaiters()
    } catch {
      await this.#options.clock.sleep(HOLD_RETRY_BACKOFF_MS, this.#stop.signal)
    }
  }

  /** Returns whether to replicate records to a witness. */
  #isActiveWitness (witness: WitnessProgress): boolean {
    if (this.#isSealed || this.#stop.signal.aborted) return false
    return this.#witnesses.includes(witness) || this.#pendingWitnesses?.includes(witness) === true
  }

  /** Returns the highest sequence number up to which all records are durable. */
  #durableSequence (): number {
    let held = sequenceHeldByQuorum(this.#witnesses)
    if (this.#pendingWitnesses !== undefined) held = Math.min(held, sequenceHeldByQuorum(this.#pendingWitnesses))
    return Math.max(this.#journaledSequence, held)
  }

  #replicate (): void {
    const witnesses = new Set([...this.#witnesses, ...this.#pendingWitnesses ?? []])
    for (const witness of witnesses) void this.#replicateTo(witness)
  }

  #resolveDurabilityWaiters (): void {
    const durableSequence = this.#durableSequence()
    const ready = this.#durabilityWaiters.filter((waiter) => waiter.sequence <= durableSequence)
    if (ready.length === 0) return
    this.#durabilityWaiters = this.#durabilityWaiters.filter((waiter) => waiter.sequence > durableSequence)
    for (const waiter of ready) waiter.resolve(Durability.durable)
  }

  #markSealed (): void {
    if (this.#isSealed) return
    this.#isSealed = true
    this.#pauseAbort.abort()
    const waiters = this.#durabilityWaiters
    this.#durabilityWaiters = []
    this.#resolveJournalWaiters(Infinity)
    for (const waiter of waiters) waiter.resolve(Durability.sealed)
    void this.sealedJournal.gatherOwnRecords(this.#tail)
    this.#options.logger.warn({ event: 'sealed', incarnation: this.#journal.incarnation, step: 'write journal', peer: 'platform' })
    this.#options.onSealed()
  }
}

/** Returns the highest sequence number up to which a quorum of the witnesses holds all records; 0 without witnesses. */
function sequenceHeldByQuorum (witnesses: readonly WitnessProgress[]): number {
  const acknowledged = witnesses.map((witness) => witness.acknowledgedSequence).sort((left, right) => right - left)
  return acknowledged[decisions.journal.witnessQuorum(acknowledged.length) - 1] ?? 0
}
