import * as types from './journal-types.js'

/** Separates the incarnation that may dispatch a key from the caller's own part. */
const KEY_SEPARATOR = '.'

/** A key of a request that may run at most once. */
export interface HomeKey {
  incarnation: string
  callerPart: string
}

/** Reads the home incarnation out of a key, or undefined where the key names none. */
export function parseHomeKey (key: string): HomeKey | undefined {
  const position = key.indexOf(KEY_SEPARATOR)
  if (position <= 0 || position === key.length - 1) return undefined
  return { incarnation: key.slice(0, position), callerPart: key.slice(position + 1) }
}

/** The prefix that callers put before their own identifier. */
export function keyPrefix (incarnation: string): string {
  return incarnation + KEY_SEPARATOR
}

/**
 * What the journal of an ended incarnation proves about a request that may run at most once.
 * A gathered journal without the claim proves that it never ran.
 */
export function runStateAfterEnd (journal: types.Journal, claim: string): types.RunState {
  const state = journal.claims[claim]
  if (state !== undefined && state !== types.RunState.running) return state
  const known = journal.state === types.JournalState.gathered || journal.state === types.JournalState.folded
  if (!known || journal.recordsLost) return types.RunState.unknown
  if (state === undefined) return types.RunState.notRun
  return types.RunState.unknown
}
