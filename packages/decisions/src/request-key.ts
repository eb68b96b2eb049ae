import * as types from './journal-types.js'

/** Separates the incarnation from the caller's own identifier in a key. */
const KEY_SEPARATOR = '.'

/** Idempotency key of a request that may run at most once, split into its parts. */
export interface PrefixedKey {
  /** The only incarnation that may dispatch the request. */
  incarnation: string
  callerIdentifier: string
}

/** Splits a key into incarnation and caller's identifier. Returns undefined if either is missing. */
export function parsePrefixedKey (key: string): PrefixedKey | undefined {
  const separatorAt = key.indexOf(KEY_SEPARATOR)
  if (separatorAt <= 0 || separatorAt === key.length - 1) return undefined
  return { incarnation: key.slice(0, separatorAt), callerIdentifier: key.slice(separatorAt + 1) }
}

/** Returns the prefix that a caller puts before its own identifier. */
export function keyPrefix (incarnation: string): string {
  return incarnation + KEY_SEPARATOR
}

/**
 * Returns what the journal of an ended incarnation proves about a request that may run at most once.
 * A gathered journal without the claim proves that the request never ran, unless records were lost.
 */
export function runStateFromEndedJournal (journal: types.Journal, claim: string): types.RunState {
  const state = journal.claims[claim]
  if (state !== undefined && state !== types.RunState.running) return state
  const isComplete = journal.state === types.JournalState.gathered || journal.state === types.JournalState.folded
  if (!isComplete || journal.recordsLost) return types.RunState.unknown
  if (state === undefined) return types.RunState.notRun
  return types.RunState.unknown
}
