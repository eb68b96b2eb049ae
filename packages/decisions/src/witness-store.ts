import type * as types from './journal-types.js'

/** Records held for one other incarnation until its journal contains them. */
interface WitnessedLog {
  sealed: boolean
  records: types.LogRecord[]
}

/** Answer to a request to hold records. */
export interface HoldResult {
  sealed: boolean
}

/** Copies of other routers' records, kept in memory until they are durable in the owner's journal. */
export class WitnessStore {
  readonly #logs = new Map<string, WitnessedLog>()

  /** Keeps records, unless the owner has been sealed, and drops those at or below `journaled`. */
  hold (owner: string, records: readonly types.LogRecord[], journaled: number): HoldResult {
    const log = this.#log(owner)
    if (log.sealed) return { sealed: true }
    log.records = log.records.filter((record) => record.sequence > journaled)
    for (const record of records) {
      if (record.sequence > journaled) log.records.push(record)
    }
    return { sealed: false }
  }

  /** Refuses all further records of the owner and returns those held. Safe to repeat. */
  seal (owner: string): types.LogRecord[] {
    const log = this.#log(owner)
    log.sealed = true
    return log.records
  }

  /** Forgets the records of an owner whose journal has been gathered; the seal stays. */
  forget (owner: string): void {
    this.#log(owner).records = []
  }

  /** Records held for others, for the metrics. */
  get size (): number {
    let total = 0
    for (const log of this.#logs.values()) total += log.records.length
    return total
  }

  #log (owner: string): WitnessedLog {
    let log = this.#logs.get(owner)
    if (log === undefined) {
      log = { sealed: false, records: [] }
      this.#logs.set(owner, log)
    }
    return log
  }
}
