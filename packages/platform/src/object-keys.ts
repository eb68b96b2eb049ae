/** Prefix of all journals. */
export const JOURNAL_PREFIX = 'journals/'

/** Prefix of the registrations of running incarnations. */
export const REGISTRATION_PREFIX = 'routers/'

/** Prefix of all ledger pages. */
export const LEDGER_PREFIX = 'ledgers/'

/** Prefix of all bill segments. */
export const SEGMENT_PREFIX = 'bill-segments/'

/** Key of the configuration head. */
export const CONFIGURATION_HEAD_KEY = 'configuration/head'

/** Key of one incarnation's journal. */
export function journalKey (incarnation: string): string {
  return JOURNAL_PREFIX + incarnation
}

/** Key of one incarnation's registration. */
export function registrationKey (incarnation: string): string {
  return REGISTRATION_PREFIX + incarnation
}

/** Key of one budget's ledger page. */
export function ledgerKey (budget: string): string {
  return LEDGER_PREFIX + budget
}

/** Key of one chunk of a manifest, named by its content. */
export function chunkKey (hash: string): string {
  return `configuration/chunks/${hash}`
}

/** Key of one immutable segment of bills. */
export function segmentKey (incarnation: string, number: number): string {
  return `${SEGMENT_PREFIX}${incarnation}/${String(number).padStart(8, '0')}`
}
