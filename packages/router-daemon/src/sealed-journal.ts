import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'

type Journal = decisions.journalTypes.Journal
type JournalChange = platform.conditionalUpdate.Change<Journal, boolean>

/** What the former owner of a sealed journal works with. */
export interface SealedJournalOptions {
  key: string
  platform: platform.platformClient.PlatformClient
  clock: decisions.clock.Clock
  /** Pause between two tries, in milliseconds. */
  pauseMs: number
}

/** What the owner of a journal may still do once another router has sealed it: tell the truth about its own requests. */
export class SealedJournal {
  readonly #options: SealedJournalOptions
  readonly #settling = new Map<string, Promise<void>>()

  constructor (options: SealedJournalOptions) {
    this.#options = options
  }

  /** Adds all the owner's records: it knows them all, and dispatches nothing any more. Resolves when they are gathered. */
  async gatherOwn (tail: readonly decisions.journalTypes.LogRecord[]): Promise<void> {
    await this.#untilDone((present) => gatherOwnRecords(present, tail))
  }

  /** Bills an open request. Resolves once the journal contains a bill for it. */
  async settle (bill: decisions.journalTypes.Bill): Promise<void> {
    const known = this.#settling.get(bill.requestId)
    if (known !== undefined) { await known; return }
    const settling = this.#untilDone((present) => settleOpen(present, bill))
    this.#settling.set(bill.requestId, settling)
    await settling
  }

  /** Takes out a request that was not dispatched. False where it was settled as run, or the time is over. */
  async drop (requestId: string, waitMs: number): Promise<boolean> {
    const deadline = this.#options.clock.now() + waitMs
    while (this.#options.clock.now() < deadline) {
      const outcome = { dropped: false }
      if (await this.#tryUpdate((present) => dropOpen(present, requestId, outcome))) return outcome.dropped
      await this.#options.clock.sleep(this.#options.pauseMs)
    }
    return false
  }

  async #untilDone (decide: (present: Journal | undefined) => JournalChange): Promise<void> {
    while (!await this.#tryUpdate(decide)) await this.#options.clock.sleep(this.#options.pauseMs)
  }

  async #tryUpdate (decide: (present: Journal | undefined) => JournalChange): Promise<boolean> {
    try {
      return await platform.conditionalUpdate.updateObject<Journal, boolean>(this.#options.platform, this.#options.key, decide)
    } catch {
      return false
    }
  }
}

function gatherOwnRecords (present: Journal | undefined, tail: readonly decisions.journalTypes.LogRecord[]): JournalChange {
  if (present === undefined) return { kind: 'keep', result: true }
  const gathered = decisions.journal.gatherFromOwner(present, tail)
  return gathered === undefined ? { kind: 'keep', result: true } : { kind: 'write', value: gathered, result: true }
}

function settleOpen (present: Journal | undefined, bill: decisions.journalTypes.Bill): JournalChange {
  if (present === undefined || present.state === decisions.journalTypes.JournalState.folded) return { kind: 'keep', result: true }
  if (present.state !== decisions.journalTypes.JournalState.gathered) return { kind: 'keep', result: false }
  const settled = structuredClone(present)
  if (!decisions.journal.settleIntent(settled, bill)) return { kind: 'keep', result: true }
  return { kind: 'write', value: settled, result: true }
}

function dropOpen (present: Journal | undefined, requestId: string, outcome: { dropped: boolean }): JournalChange {
  if (present === undefined) return { kind: 'keep', result: true }
  if (present.state === decisions.journalTypes.JournalState.sealed) return { kind: 'keep', result: false }
  const next = structuredClone(present)
  const open = decisions.journal.dropIntent(next, requestId)
  const gathered = present.state === decisions.journalTypes.JournalState.gathered
  outcome.dropped = open || (gathered && !present.bills.some((bill) => bill.requestId === requestId))
  return open ? { kind: 'write', value: next, result: true } : { kind: 'keep', result: true }
}
