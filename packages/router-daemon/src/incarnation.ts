import * as decisions from '@acaciaweir/decisions'
import * as crypto from 'node:crypto'
import type * as ledgers from './ledger.js'
import type * as logs from './record-log.js'

/**
 * One incarnation (epoch) of a router: its id, its record log and its ledger. A router process replaces it as a whole once
 * another router has sealed its journal.
 */
export interface Incarnation {
  id: string
  log: logs.RecordLog
  ledger: ledgers.Ledger
  /** Claims of at-most-once requests whose admission is in progress. */
  admittingClaims: Set<string>
  /** Claims that this router has reported to another one as not run. It must never run them. */
  refusedClaims: Set<string>
  /** Claims whose dispatch was withdrawn, without proof that log recovery does not find the record of the dispatch. */
  unprovenWithdrawals: Set<string>
}

/** Number of random bytes in an incarnation's id. */
const INCARNATION_ID_BYTES = 6

/** Returns a new incarnation id. It contains only letters, digits, `_` and `-`: no character that separates parts of a key. */
export function newIncarnationId (host: string): string {
  return `${host.replaceAll(/[^A-Za-z0-9_-]/g, '-')}-${crypto.randomBytes(INCARNATION_ID_BYTES).toString('hex')}`
}

/** Returns a new request id. It contains the incarnation that dispatches the request and cannot be guessed. */
export function newRequestId (incarnation: string): string {
  return `${incarnation}~${crypto.randomUUID()}`
}

/** Returns the incarnation that a request id contains. */
export function incarnationOfRequest (requestId: string): string {
  return requestId.slice(0, requestId.indexOf('~'))
}

/** Returns the state of an at-most-once request at this incarnation; undefined if it was never admitted. */
export function runStateOf (incarnation: Incarnation, claim: string): decisions.journalTypes.RunState | undefined {
  if (incarnation.unprovenWithdrawals.has(claim)) return decisions.journalTypes.RunState.unknown
  if (incarnation.admittingClaims.has(claim)) return decisions.journalTypes.RunState.running
  return incarnation.log.claimState(claim)
}
