import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'

type Journal = decisions.journalTypes.Journal
type JournalChange = platform.conditionalUpdate.UpdateDecision<Journal, boolean>

/** Dependencies of the owner of a sealed journal. */
export interface SealedJournalOptions {
  key: string
  platform: platform.platformClient.PlatformClient
  clock: decisions.clock.Clock
  /** Time between two attempts to update the journal, in milliseconds. */
  retryIntervalMs: number
}

/**
 * Updates of a journal by its owner after another router has sealed (fenced) it. The owner must not dispatch any more,
 * but it still records the outcomes of its own requests.
 */
export class SealedJournal {
  readonly #options: SealedJournalOptions
  readonly #settlements = new Map<string, Promise<void>>()

  constructor (options: SealedJournalOptions) {
    this.#options = options
  }

  /**
   * Applies the owner's records beyond the journal (log recovery). No quorum of witnesses is needed, because the owner has
   * all its records and dispatches no more. Retries until the journal is gathered.
   */
  async gatherOwnRecords (tail: readonly decisions.journalTypes.LogRecord[]): Promise<void> {
    await this.#retryUntilUpdated((stored) => gatherRecords(stored, tail))
  }

  /** Bills an open request. Retries until the request is no longer open in the journal. */
  async settle (bill: decisions.journalTypes.Bill): Promise<void> {
    const inProgress = this.#settlements.get(bill.requestId)
    if (inProgress !== undefined) { await inProgress; return }
    const settlement = this.#retryUntilUpdated((stored) => settleOpenRequest(stored, bill))
    this.#settlements.set(bill.requestId, settlement)
    await settlement
  }

  /**
   * Drops a request that was not dispatched. Returns false if it is billed, the journal is folded already, or `waitMs` have
   * passed.
   */
  async drop (requestId: string, waitMs: number): Promise<boolean> {
    const deadline = this.#options.clock.now() + waitMs
    while (this.#options.clock.now() < deadline) {
      const outcome = { dropped: false }
      if (await this.#tryUpdate((stored) => dropOpenRequest(stored, requestId, outcome))) return outcome.dropped
      await this.#options.clock.sleep(this.#options.retryIntervalMs)
    }
    return false
  }

  async #retryUntilUpdated (decide: (stored: Journal | undefined) => JournalChange): Promise<void> {
    while (!await this.#tryUpdate(decide)) await this.#options.clock.sleep(this.#options.retryIntervalMs)
  }

  /** Returns false if the update failed or the journal is not in the required state yet. */
  async #tryUpdate (decide: (stored: Journal | undefined) => JournalChange): Promise<boolean> {
    try {
      return await platform.conditionalUpdate.updateObject<Journal, boolean>(this.#options.platform, this.#options.key, decide)
    } catch {
      return false
    }
  }
}

function gatherRecords (stored: Journal | undefined, tail: readonly decisions.journalTypes.LogRecord[]): JournalChange {
  if (stored === undefined) return { kind: 'keep', result: true }
  const gathered = decisions.journal.gatherFromOwner(stored, tail)
  return gathered === undefined ? { kind: 'keep', result: true } : { kind: 'write', value: gathered, result: true }
}

function settleOpenRequest (stored: Journal | undefined, bill: decisions.journalTypes.Bill): JournalChange {
  if (stored === undefined || stored.state === decisions.journalTypes.JournalState.folded) return { kind: 'keep', result: true }
  if (stored.state !== decisions.journalTypes.JournalState.gathered) return { kind: 'keep', result: false }
  const settled = structuredClone(stored)
  if (!decisions.journal.settleIntent(settled, bill)) return { kind: 'keep', result: true }
  return { kind: 'write', value: settled, result: true }
}

function dropOpenRequest (stored: Journal | undefined, requestId: string, outcome: { dropped: boolean }): JournalChange {
  if (stored === undefined) return { kind: 'keep', result: true }
  if (stored.state === decisions.journalTypes.JournalState.sealed) return { kind: 'keep', result: false }
  const next = structuredClone(stored)
  const wasOpen = decisions.journal.dropIntent(next, requestId)
  const isGathered = stored.state === decisions.journalTypes.JournalState.gathered
  outcome.dropped = wasOpen || (isGathered && !stored.bills.some((bill) => bill.requestId === requestId))
  return wasOpen ? { kind: 'write', value: next, result: true } : { kind: 'keep', result: true }
}
