import type * as types from './journal-types.js'

/** Records held for one other incarnation until its stored journal contains them. */
interface WitnessedLog {
  isSealed: boolean
  records: types.LogRecord[]
}

/** Result of holding records. */
export interface HoldResult {
  /** The owner is sealed, so the records were refused. */
  sealed: boolean
}

/** In-memory replicas of other routers' records, kept until the owner's stored journal contains them. */
export class WitnessStore {
  readonly #logs = new Map<string, WitnessedLog>()

  /** Holds records, unless the owner is sealed, and discards those whose sequence is at or below `journaled`. */
  hold (owner: string, records: readonly types.LogRecord[], journaled: number): HoldResult {
    const log = this.#log(owner)
    if (log.isSealed) return { sealed: true }
    log.records = log.records.filter((record) => record.sequence > journaled)
    for (const record of records) {
      if (record.sequence > journaled) log.records.push(record)
    }
    return { sealed: false }
  }

  /** Seals (fences) an owner: refuses all its further records. Returns the records held. Idempotent. */
  seal (owner: string): types.LogRecord[] {
    const log = this.#log(owner)
    log.isSealed = true
    return log.records
  }

  /** Discards the records of an owner whose journal has been gathered. A sealed owner stays sealed. */
  discardRecords (owner: string): void {
    this.#log(owner).records = []
  }

  /** Number of records held for all owners; reported as a metric. */
  get recordCount (): number {
    let total = 0
    for (const log of this.#logs.values()) total += log.records.length
    return total
  }

  #log (owner: string): WitnessedLog {
    let log = this.#logs.get(owner)
    if (log === undefined) {
      log = { isSealed: false, records: [] }
      this.#logs.set(owner, log)
    }
    return log
  }
}
