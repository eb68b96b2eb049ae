import type * as ledger from './ledger-types.js'

/** A request about to be sent to a target. Recorded before the dispatch. */
export interface Intent {
  requestId: string
  account: string
  budget: string
  target: string
  reservedTokens: number
  /** The prompt's part of the reservation. */
  reservedPromptTokens: number
  /** The caller's identity for the request, unique within its client account. */
  key: string
  repeatable: boolean
  /** Wall-clock time of the record, in milliseconds since 1970. */
  openedAtMs: number
}

/**
 * How a billed request ended. `unknown` is the outcome of a call that was sent and never answered:
 * its price is charged, because it may have run.
 */
export const BillOutcome = { complete: 'complete', partial: 'partial', unknown: 'unknown' } as const
export type BillOutcome = typeof BillOutcome[keyof typeof BillOutcome]

/** The bill of one request. Two bills with one account and key are the same bill. */
export interface Bill {
  requestId: string
  account: string
  budget: string
  target: string
  key: string
  promptTokens: number
  completionTokens: number
  outcome: BillOutcome
}

/** One entry of an incarnation's log, numbered without gaps. */
export type LogRecord =
  | { kind: 'open', sequence: number, intent: Intent }
  | { kind: 'billed', sequence: number, bill: Bill }
  | { kind: 'not-run', sequence: number, requestId: string }

type WithoutSequence<Record> = Record extends unknown ? Omit<Record, 'sequence'> : never

/** An entry that has not been numbered yet. */
export type NewRecord = WithoutSequence<LogRecord>

/** Whether a request that may run at most once has run. */
export const RunState = { running: 'running', ran: 'ran', notRun: 'not-run', unknown: 'unknown' } as const
export type RunState = typeof RunState[keyof typeof RunState]

/** Life of a journal: written by its owner, then closed and settled by any router. */
export const JournalState = { active: 'active', sealed: 'sealed', gathered: 'gathered', folded: 'folded' } as const
export type JournalState = typeof JournalState[keyof typeof JournalState]

/** The durable record of one incarnation. One object in the platform. */
export interface Journal {
  incarnation: ledger.IncarnationId
  host: string
  availabilityZone: string
  peerAddress: string
  /** Identity of the process; a later process at the same host proves that this one has ended. */
  process: string
  state: JournalState
  /** Raised by each write of the owner; shows that it lives. */
  writes: number
  /** Highest record sequence contained. */
  sequence: number
  /** Incarnations that hold copies of records before the journal does. */
  witnesses: ledger.IncarnationId[]
  spent: Record<string, ledger.TokensByAccount>
  /** The most that the owner dispatches beyond the records in this journal, by budget and client account. Unit: tokens. */
  headroom: Record<string, ledger.TokensByAccount>
  /** Part of `spent` that no bill explains: the headroom of an owner lost together with its witnesses. */
  unattributed: Record<string, ledger.TokensByAccount>
  /** True where records were lost with the owner and its witnesses, so that a missing record proves nothing. */
  recordsLost: boolean
  /** Budgets whose ledger pages may list this incarnation. */
  budgets: string[]
  open: Record<string, Intent>
  /** Bills not yet moved to a segment. */
  bills: Bill[]
  nextSegment: number
  /** Requests that may run at most once, by account and key. */
  claims: Record<string, RunState>
}
