import type * as ledger from './ledger-types.js'

/** A request that is about to be dispatched to a target. Write-ahead: recorded before the dispatch. */
export interface Intent {
  requestId: string
  account: string
  budget: string
  target: string
  reservedTokens: number
  /** The part of `reservedTokens` that covers the prompt. */
  reservedPromptTokens: number
  /** Idempotency key of the request, unique within its client account. */
  key: string
  /** The request may run more than once. */
  repeatable: boolean
  /** Wall-clock time of the record, in milliseconds since the Unix epoch. */
  openedAtMs: number
}

/**
 * How a billed request ended. `unknown` means that the call was sent and never answered; it is charged, because it may
 * have run.
 */
export const BillOutcome = { complete: 'complete', partial: 'partial', unknown: 'unknown' } as const
export type BillOutcome = typeof BillOutcome[keyof typeof BillOutcome]

/** Bill of one request. Two bills with the same account and key are the same bill. */
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

/** Entry of an incarnation's log. Sequence numbers have no gaps. */
export type LogRecord =
  | { kind: 'open', sequence: number, intent: Intent }
  | { kind: 'billed', sequence: number, bill: Bill }
  | { kind: 'not-run', sequence: number, requestId: string }

type WithoutSequence<Record> = Record extends unknown ? Omit<Record, 'sequence'> : never

/** A log entry without its sequence number. */
export type NewRecord = WithoutSequence<LogRecord>

/** State of a request that may run at most once. */
export const RunState = { running: 'running', ran: 'ran', notRun: 'not-run', unknown: 'unknown' } as const
export type RunState = typeof RunState[keyof typeof RunState]

/**
 * Life cycle of a journal: its owner writes it while it is `active`. Any router then seals (fences) it, gathers the
 * witnesses' records into it (log recovery), settles its open requests and folds it into the ledger pages (compaction).
 */
export const JournalState = { active: 'active', sealed: 'sealed', gathered: 'gathered', folded: 'folded' } as const
export type JournalState = typeof JournalState[keyof typeof JournalState]

/** Durable log and totals of one incarnation. One object in the platform. */
export interface Journal {
  incarnation: ledger.IncarnationId
  host: string
  availabilityZone: string
  peerAddress: string
  /** Identity of the process. A later process on the same host proves that this one has ended. */
  process: string
  state: JournalState
  /** Number of writes by the owner. An increase proves that the owner is alive. */
  writes: number
  /** Highest sequence number of the records that the journal contains. */
  sequence: number
  /** Incarnations that hold replicas of the records that the journal does not contain yet. */
  witnesses: ledger.IncarnationId[]
  /** Tokens charged, by budget and client account: the billed ones and those in `unattributed`. */
  spent: Record<string, ledger.TokensByAccount>
  /** Largest number of tokens that the owner dispatches beyond the records in this journal, by budget and client account. */
  headroom: Record<string, ledger.TokensByAccount>
  /** Part of `spent` that no bill accounts for: the headroom of an owner that was lost together with its witnesses. */
  unattributed: Record<string, ledger.TokensByAccount>
  /** Records were lost with the owner and its witnesses, so a missing record does not prove that a request never ran. */
  recordsLost: boolean
  /** Budgets whose ledger pages can contain counters of this incarnation. */
  budgets: string[]
  /** Requests recorded for dispatch and not closed, by request identifier. */
  open: Record<string, Intent>
  /** Bills that have not been moved to a bill segment. */
  bills: Bill[]
  /** Number of the next bill segment. */
  nextSegment: number
  /** States of the requests that may run at most once, by account and key. */
  claims: Record<string, RunState>
}
