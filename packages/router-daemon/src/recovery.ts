import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as bills from './bill-segments.js'
import type * as settlers from './intent-settler.js'

/** Longest wait for a witness to seal, in milliseconds. */
const SEAL_TIMEOUT_MS = 1000

type Journal = decisions.journalTypes.Journal

/** What recovery works with. */
export interface RecoveryOptions {
  platform: platform.platformClient.PlatformClient
  peers: routers.peerClient.PeerClient
  logger: runtime.logging.Logger
  settler: settlers.IntentSettler
  /** True where a host runs a later process than the given one, which has thus ended. */
  isReplaced: (host: string, process: string) => Promise<boolean>
}

/** How far the recovery of one ended incarnation has come. */
export const RecoveryProgress = { waitingForWitnesses: 'waiting-for-witnesses', waitingForTargets: 'waiting-for-targets', done: 'done' } as const
export type RecoveryProgress = typeof RecoveryProgress[keyof typeof RecoveryProgress]

/**
 * Seals the journal of an incarnation believed dead, gathers its witnesses' records, settles its open requests
 * with the targets and folds it into the ledger pages. Each step is safe to repeat and to run at several routers.
 */
export class Recovery {
  readonly #options: RecoveryOptions

  constructor (options: RecoveryOptions) {
    this.#options = options
  }

  /** Takes the recovery as far as it can go now. Throws PlatformUnavailable. */
  async advance (incarnation: string): Promise<RecoveryProgress> {
    const sealed = await this.#update(incarnation, decisions.journal.seal)
    if (sealed === undefined) return RecoveryProgress.done
    const gathered = await this.#gather(sealed)
    if (gathered === undefined) return RecoveryProgress.waitingForWitnesses
    const settled = await this.#settleOpen(gathered)
    if (settled.state === decisions.journalTypes.JournalState.folded) return RecoveryProgress.done
    if (!decisions.journal.isSettled(settled)) return RecoveryProgress.waitingForTargets
    await this.#fold(settled)
    return RecoveryProgress.done
  }

  async #gather (sealed: Journal): Promise<Journal | undefined> {
    if (sealed.state !== decisions.journalTypes.JournalState.sealed) return sealed
    const tails = new Map<string, decisions.journalTypes.LogRecord[]>()
    await Promise.all(sealed.witnesses.map(async (witness) => {
      const records = await this.#sealAt(witness, sealed.incarnation)
      if (records !== undefined) tails.set(witness, records)
    }))
    const quorum = decisions.journal.gather(sealed, tails) !== undefined
    if (!quorum && !await this.#areRecordsLost(sealed, tails)) return undefined
    const close = quorum ? decisions.journal.gather : decisions.journal.gatherChargingHeadroom
    const gathered = await this.#update(sealed.incarnation, (present) => close(present, tails) ?? present)
    if (!quorum) this.#options.logger.warn({ event: 'records-lost', incarnation: sealed.incarnation, headroom: sealed.headroom })
    this.#options.logger.info({ event: 'gathered', incarnation: sealed.incarnation, witnesses: tails.size, open: Object.keys(gathered?.open ?? {}).length })
    return gathered
  }

  /** True where the owner and all witnesses that did not answer have provably ended, so that waiting for their records is in vain. */
  async #areRecordsLost (sealed: Journal, tails: ReadonlyMap<string, unknown>): Promise<boolean> {
    if (!await this.#options.isReplaced(sealed.host, sealed.process)) return false
    for (const witness of sealed.witnesses) {
      if (tails.has(witness)) continue
      const journal = await this.#readJournal(witness)
      if (journal === undefined || !await this.#options.isReplaced(journal.host, journal.process)) return false
    }
    return true
  }

  async #sealAt (witness: string, incarnation: string): Promise<decisions.journalTypes.LogRecord[] | undefined> {
    try {
      const journal = await this.#readJournal(witness)
      if (journal === undefined) return undefined
      // The address is the journal's: a sealed witness may still run and hold its copies.
      const reply = await this.#options.peers.call(journal.peerAddress, 'Seal', { incarnation, witness }, SEAL_TIMEOUT_MS)
      return reply.records
    } catch {
      return undefined
    }
  }

  async #readJournal (incarnation: string): Promise<Journal | undefined> {
    const stored = await this.#options.platform.read(platform.objectKeys.journalKey(incarnation))
    return stored?.value as Journal | undefined
  }

  /** Asks the targets what became of each open request. Those that cannot be settled yet stay open. */
  async #settleOpen (gathered: Journal): Promise<Journal> {
    const intents = Object.values(gathered.open)
    if (intents.length === 0) return gathered
    const outcomes = await Promise.all(intents.map((intent) => this.#options.settler.settle(intent, gathered.incarnation)))
    const settled = await this.#update(gathered.incarnation, (present) => applyOutcomes(present, outcomes))
    return settled ?? gathered
  }

  async #fold (settled: Journal): Promise<void> {
    for (const budget of settled.budgets) await this.#foldBudget(budget, settled)
    await bills.writeSegment(this.#options.platform, settled.incarnation, settled.nextSegment, settled.bills)
    await this.#update(settled.incarnation, (present) => ({
      ...present,
      state: decisions.journalTypes.JournalState.folded,
      bills: [],
      nextSegment: settled.nextSegment + 1
    }))
    this.#options.logger.info({ event: 'folded', incarnation: settled.incarnation, budgets: settled.budgets.length, bills: settled.bills.length })
  }

  async #foldBudget (budget: string, settled: Journal): Promise<void> {
    await platform.conditionalUpdate.updateObject<decisions.ledgerTypes.LedgerPage, undefined>(
      this.#options.platform,
      platform.objectKeys.ledgerKey(budget),
      (present) => {
        if (present === undefined) return { kind: 'keep', result: undefined }
        const folded = decisions.ledgerPage.foldIncarnation(present, settled.incarnation, settled.spent[budget] ?? {})
        return folded === present ? { kind: 'keep', result: undefined } : { kind: 'write', value: folded, result: undefined }
      }
    )
  }

  async #update (incarnation: string, change: (present: Journal) => Journal): Promise<Journal | undefined> {
    return await platform.conditionalUpdate.updateObject<Journal, Journal | undefined>(
      this.#options.platform,
      platform.objectKeys.journalKey(incarnation),
      (present) => {
        if (present === undefined) return { kind: 'keep', result: undefined }
        const next = change(present)
        return next === present ? { kind: 'keep', result: present } : { kind: 'write', value: next, result: next }
      }
    )
  }
}

function applyOutcomes (present: Journal, outcomes: settlers.SettleOutcome[]): Journal {
  if (present.state !== decisions.journalTypes.JournalState.gathered) return present
  const next = structuredClone(present)
  let changed = false
  for (const outcome of outcomes) {
    if (outcome.kind === 'billed') changed = decisions.journal.settleIntent(next, outcome.bill) || changed
    if (outcome.kind === 'not-run') changed = decisions.journal.dropIntent(next, outcome.requestId) || changed
  }
  return changed ? next : present
}
