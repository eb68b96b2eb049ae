import * as pattern from 'ts-pattern'
import * as types from './journal-types.js'

/** Where an incarnation can be reached. */
export interface JournalOwner {
  incarnation: string
  host: string
  availabilityZone: string
  peerAddress: string
  process: string
}

/** Creates the journal of a starting incarnation. */
export function startJournal (owner: JournalOwner, witnesses: string[]): types.Journal {
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

/** Names a request that may run at most once, over all keys of all client accounts. */
export function claimName (account: string, key: string): string {
  return `${account}/${key}`
}

/** Adds the next record in place. A record that the journal contains already is ignored. */
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

/** Ends an open request that did not run, or that another incarnation bills. Safe to repeat. */
export function dropIntent (journal: types.Journal, requestId: string): boolean {
  const intent = journal.open[requestId]
  if (intent === undefined) return false
  delete journal.open[requestId]
  if (!intent.repeatable) journal.claims[claimName(intent.account, intent.key)] = types.RunState.notRun
  return true
}

/** Ends an open request with its bill. Safe to repeat: a request that is not open is left as it is. */
export function settleIntent (journal: types.Journal, bill: types.Bill): boolean {
  const intent = journal.open[bill.requestId]
  if (intent === undefined) return false
  delete journal.open[bill.requestId]
  journal.bills.push(bill)
  addSpent(journal, bill)
  if (intent.repeatable) return true
  const known = bill.outcome !== types.BillOutcome.unknown
  journal.claims[claimName(intent.account, intent.key)] = known ? types.RunState.ran : types.RunState.unknown
  return true
}

function addSpent (journal: types.Journal, bill: types.Bill): void {
  addTokens(journal.spent, bill.budget, bill.account, bill.promptTokens + bill.completionTokens)
}

function addTokens (totals: types.Journal['spent'], budget: string, account: string, tokens: number): void {
  const accounts = totals[budget] ?? {}
  accounts[account] = (accounts[account] ?? 0) + tokens
  totals[budget] = accounts
}

/** Closes a journal to its owner. What it does not contain and no witness holds was never dispatched. */
export function seal (journal: types.Journal): types.Journal {
  if (journal.state !== types.JournalState.active) return journal
  return { ...journal, state: types.JournalState.sealed }
}

/** Number of sealed witnesses that proves both that the owner can dispatch nothing and that no record is missed. */
export function witnessQuorum (witnessCount: number): number {
  return Math.floor(witnessCount / 2) + 1
}

/**
 * Adds the records that sealed witnesses hold beyond the journal.
 * Returns undefined while fewer witnesses than the quorum have answered.
 */
export function gather (journal: types.Journal, tails: ReadonlyMap<string, types.LogRecord[]>): types.Journal | undefined {
  if (journal.state !== types.JournalState.sealed) return undefined
  const answered = journal.witnesses.filter((witness) => tails.has(witness))
  if (journal.witnesses.length > 0 && answered.length < witnessQuorum(journal.witnesses.length)) return undefined
  return withRecords(journal, answered.map((witness) => tails.get(witness) ?? []))
}

/** Adds the records of an owner that has found itself sealed. Undefined where the journal has been gathered already. */
export function gatherFromOwner (journal: types.Journal, tail: readonly types.LogRecord[]): types.Journal | undefined {
  if (journal.state !== types.JournalState.sealed) return undefined
  return withRecords(journal, [tail])
}

/**
 * Closes the books of an owner that has ended together with witnesses whose records are lost:
 * all of its headroom counts as spent. Adds the records of the witnesses that did answer.
 */
export function gatherWithinHeadroom (journal: types.Journal, tails: ReadonlyMap<string, types.LogRecord[]>): types.Journal | undefined {
  if (journal.state !== types.JournalState.sealed) return undefined
  const gathered = withRecords(journal, [...tails.values()])
  gathered.recordsLost = true
  for (const [budget, accounts] of Object.entries(journal.headroom)) {
    for (const [account, tokens] of Object.entries(accounts)) {
      addTokens(gathered.spent, budget, account, tokens)
      addTokens(gathered.unattributed, budget, account, tokens)
    }
  }
  return gathered
}

function withRecords (journal: types.Journal, tails: ReadonlyArray<readonly types.LogRecord[]>): types.Journal {
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

/** A gathered journal without open requests can be folded into the ledger pages. */
export function isSettled (journal: types.Journal): boolean {
  return journal.state === types.JournalState.gathered && Object.keys(journal.open).length === 0
}
