/** Prefix of the keys of all journals. */
export const JOURNAL_PREFIX = 'journals/'

/** Prefix of the keys of all registrations. Running incarnations register themselves. */
export const REGISTRATION_PREFIX = 'routers/'

/** Prefix of the keys of all ledger pages. */
export const LEDGER_PREFIX = 'ledgers/'

/** Prefix of the keys of all bill segments. */
export const BILL_SEGMENT_PREFIX = 'bill-segments/'

export const CONFIGURATION_HEAD_KEY = 'configuration/head'

export function journalKey (incarnation: string): string {
  return JOURNAL_PREFIX + incarnation
}

export function registrationKey (incarnation: string): string {
  return REGISTRATION_PREFIX + incarnation
}

/** Returns the key of a budget's ledger page. */
export function ledgerKey (budget: string): string {
  return LEDGER_PREFIX + budget
}

/** Returns the key of a manifest chunk, which is addressed by the hash of its content. */
export function chunkKey (hash: string): string {
  return `configuration/chunks/${hash}`
}

/** Returns the key of an immutable segment of an incarnation's bills. The padded number sorts the keys in order. */
export function billSegmentKey (incarnation: string, number: number): string {
  return `${BILL_SEGMENT_PREFIX}${incarnation}/${String(number).padStart(8, '0')}`
}
