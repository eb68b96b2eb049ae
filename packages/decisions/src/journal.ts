import * as pattern from 'ts-pattern'
import * as types from './journal-types.js'

/** Identity and address of the incarnation that writes a journal. */
export interface JournalOwner {
  incarnation: string
  host: string
  availabilityZone: string
  peerAddress: string
  process: string
}

/** Creates the empty journal of a starting incarnation. */
export function createJournal (owner: JournalOwner, witnesses: string[]): types.Journal {
  return {
    ...owner,
    state: types.JournalState.active,
    writes: 0,
    sequence: 0,
    witnesses,
    spent: {},
    headroom: {},
    unattributed: {},
    recordsLost: false,
    budgets: [],
    open: {},
    bills: [],
    nextSegment: 0,
    claims: {}
  }
}

/** Returns the name under which a journal records a request that may run at most once; unique over all client accounts. */
export function claimName (account: string, key: string): string {
  return `${account}/${key}`
}

/** Applies a record to the journal in place. Ignores a record whose sequence the journal contains already. */
export function applyRecord (journal: types.Journal, record: types.LogRecord): void {
  if (record.sequence <= journal.sequence) return
  journal.sequence = record.sequence
  pattern.match(record)
    .with({ kind: 'open' }, ({ intent }) => { addIntent(journal, intent) })
    .with({ kind: 'billed' }, ({ bill }) => { settleIntent(journal, bill) })
    .with({ kind: 'not-run' }, ({ requestId }) => { dropIntent(journal, requestId) })
    .exhaustive()
}

function addIntent (journal: types.Journal, intent: types.Intent): void {
  journal.open[intent.requestId] = intent
  if (intent.repeatable) return
  journal.claims[claimName(intent.account, intent.key)] = types.RunState.running
}

/** Closes an open request that did not run, or that another incarnation bills. Idempotent. Returns whether the request was open. */
export function dropIntent (journal: types.Journal, requestId: string): boolean {
  const intent = journal.open[requestId]
  if (intent === undefined) return false
  delete journal.open[requestId]
  if (!intent.repeatable) journal.claims[claimName(intent.account, intent.key)] = types.RunState.notRun
  return true
}

/** Closes an open request with its bill. Idempotent. Returns whether the request was open. */
export function settleIntent (journal: types.Journal, bill: types.Bill): boolean {
  const intent = journal.open[bill.requestId]
  if (intent === undefined) return false
  delete journal.open[bill.requestId]
  journal.bills.push(bill)
  chargeBill(journal, bill)
  if (intent.repeatable) return true
  const isRunKnown = bill.outcome !== types.BillOutcome.unknown
  journal.claims[claimName(intent.account, intent.key)] = isRunKnown ? types.RunState.ran : types.RunState.unknown
  return true
}

function chargeBill (journal: types.Journal, bill: types.Bill): void {
  addTokens(journal.spent, bill.budget, bill.account, bill.promptTokens + bill.completionTokens)
}

function addTokens (totals: types.Journal['spent'], budget: string, account: string, tokens: number): void {
  const accounts = totals[budget] ?? {}
  accounts[account] = (accounts[account] ?? 0) + tokens
  totals[budget] = accounts
}

/**
 * Seals (fences) a journal, so that its owner cannot write it any more. A request that neither the sealed journal nor
 * its witnesses contain was never dispatched.
 */
export function seal (journal: types.Journal): types.Journal {
  if (journal.state !== types.JournalState.active) return journal
  return { ...journal, state: types.JournalState.sealed }
}

/**
 * Returns the number of sealed witnesses (a majority) that proves that the owner cannot dispatch any more and that no
 * record is missing.
 */
export function witnessQuorum (witnessCount: number): number {
  return Math.floor(witnessCount / 2) + 1
}

/**
 * Log recovery: applies the records that sealed witnesses hold beyond a sealed journal. `tails` holds them by witness.
 * Returns undefined if the journal is not sealed or fewer witnesses than the quorum have answered.
 */
export function gather (journal: types.Journal, tails: ReadonlyMap<string, types.LogRecord[]>): types.Journal | undefined {
  if (journal.state !== types.JournalState.sealed) return undefined
  const answered = journal.witnesses.filter((witness) => tails.has(witness))
  if (journal.witnesses.length > 0 && answered.length < witnessQuorum(journal.witnesses.length)) return undefined
  return gatherRecords(journal, answered.map((witness) => tails.get(witness) ?? []))
}

/**
 * Log recovery by the owner itself, after it has found its journal sealed: applies its own records beyond the journal.
 * Returns undefined if the journal is not sealed or is gathered already.
 */
export function gatherFromOwner (journal: types.Journal, tail: readonly types.LogRecord[]): types.Journal | undefined {
  if (journal.state !== types.JournalState.sealed) return undefined
  return gatherRecords(journal, [tail])
}

/**
 * Log recovery without a quorum, for an owner that has ended together with witnesses whose records are lost: charges
 * the whole headroom as spent and applies the records of the witnesses that answered.
 * Returns undefined if the journal is not sealed.
 */
export function gatherChargingHeadroom (journal: types.Journal, tails: ReadonlyMap<string, types.LogRecord[]>): types.Journal | undefined {
  if (journal.state !== types.JournalState.sealed) return undefined
  const gathered = gatherRecords(journal, [...tails.values()])
  gathered.recordsLost = true
  for (const [budget, accounts] of Object.entries(journal.headroom)) {
    for (const [account, tokens] of Object.entries(accounts)) {
      addTokens(gathered.spent, budget, account, tokens)
      addTokens(gathered.unattributed, budget, account, tokens)
    }
  }
  return gathered
}

function gatherRecords (journal: types.Journal, tails: ReadonlyArray<readonly types.LogRecord[]>): types.Journal {
  const gathered = structuredClone(journal)
  for (const record of mergeTails(tails)) applyRecord(gathered, record)
  gathered.state = types.JournalState.gathered
  return gathered
}

function mergeTails (tails: ReadonlyArray<readonly types.LogRecord[]>): types.LogRecord[] {
  const bySequence = new Map<number, types.LogRecord>()
  for (const record of tails.flat()) bySequence.set(record.sequence, record)
  return [...bySequence.values()].sort((left, right) => left.sequence - right.sequence)
}

/** Returns whether a journal is gathered and has no open requests, so that it can be folded into the ledger pages. */
export function isSettled (journal: types.Journal): boolean {
  return journal.state === types.JournalState.gathered && Object.keys(journal.open).length === 0
}
