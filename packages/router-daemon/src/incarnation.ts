import * as decisions from '@acaciaweir/decisions'
import * as crypto from 'node:crypto'
import type * as ledgers from './ledger.js'
import type * as logs from './record-log.js'

/** One life of a router: its identity, its records and its allotment. Replaced as a whole once it has been sealed. */
export interface Incarnation {
  id: string
  log: logs.RecordLog
  ledger: ledgers.Ledger
  /** Keys of requests that may run at most once and are being admitted now. */
  admitting: Set<string>
  /** Keys that another router was told did not run; they never run here. */
  refused: Set<string>
  /** Keys whose dispatch was withdrawn without proof that others will not find its record. */
  unproved: Set<string>
}

/** Random bytes in an incarnation's name. */
const INCARNATION_BYTES = 6

/** Makes the name of a new incarnation. Contains no character that separates parts of a key. */
export function newIncarnationId (host: string): string {
  return `${host.replaceAll(/[^A-Za-z0-9_-]/g, '-')}-${crypto.randomBytes(INCARNATION_BYTES).toString('hex')}`
}

/** Makes the identity of a request; names the incarnation that dispatches it and cannot be guessed. */
export function newRequestId (incarnation: string): string {
  return `${incarnation}~${crypto.randomUUID()}`
}

/** The incarnation that a request identity names. */
export function incarnationOfRequest (requestId: string): string {
  return requestId.slice(0, requestId.indexOf('~'))
}

/** Whether a request that may run at most once has run at this incarnation; undefined where it was never admitted. */
export function runStateOf (incarnation: Incarnation, claim: string): decisions.journalTypes.RunState | undefined {
  if (incarnation.unproved.has(claim)) return decisions.journalTypes.RunState.unknown
  if (incarnation.admitting.has(claim)) return decisions.journalTypes.RunState.running
  return incarnation.log.claimState(claim)
}
