import * as decisions from '@acaciaweir/decisions'
import * as platform from '@acaciaweir/platform'
import * as routers from '@acaciaweir/routers'
import * as runtime from '@acaciaweir/runtime'
import * as billSegments from './bill-segments.js'
import type * as settlers from './intent-settler.js'

/** Timeout of a `Seal` call to a witness, in milliseconds. */
const SEAL_TIMEOUT_MS = 1000

type Journal = decisions.journalTypes.Journal

/** Dependencies of recovery. */
export interface RecoveryOptions {
  platform: platform.platformClient.PlatformClient
  peers: routers.peerClient.PeerClient
  logger: runtime.logging.Logger
  settler: settlers.IntentSettler
  /** Returns whether a host runs a later process than the given one, which proves that the given one has ended. */
  isReplaced: (host: string, process: string) => Promise<boolean>
}

/** Progress of the recovery of one ended incarnation. */
export const RecoveryProgress = { waitingForWitnesses: 'waiting-for-witnesses', waitingForTargets: 'waiting-for-targets', done: 'done' } as const
export type RecoveryProgress = typeof RecoveryProgress[keyof typeof RecoveryProgress]

/**
 * Log recovery of an incarnation that is believed to have ended: seals (fences) its journal, gathers the records of its
 * witnesses, settles its open requests with the targets and folds (compacts) the incarnation into the ledger pages.
 * Each step is idempotent and may run at several routers at once.
 */
export class Recovery {
  readonly #options: RecoveryOptions

  constructor (options: RecoveryOptions) {
    this.#options = options
  }

  /** Advances the recovery as far as possible and returns its progress. Throws PlatformUnavailable. */
  async advance (incarnation: string): Promise<RecoveryProgress> {
    const sealed = await this.#updateJournal(incarnation, decisions.journal.seal)
    if (sealed === undefined) return RecoveryProgress.done
    const gathered = await this.#gather(sealed)
    if (gathered === undefined) return RecoveryProgress.waitingForWitnesses
    const settled = await this.#settleOpenRequests(gathered)
    if (settled.state === decisions.journalTypes.JournalState.folded) return RecoveryProgress.done
    if (!decisions.journal.isSettled(settled)) return RecoveryProgress.waitingForTargets
    await this.#fold(settled)
    return RecoveryProgress.done
  }

  /**
   * Applies the witnesses' records to a sealed journal. Without a quorum it returns undefined, unless the missing records
   * are lost: then it charges the whole headroom as spent.
   */
  async #gather (sealed: Journal): Promise<Journal | undefined> {
    if (sealed.state !== decisions.journalTypes.JournalState.sealed) return sealed
    const tails = new Map<string, decisions.journalTypes.LogRecord[]>()
    await Promise.all(sealed.witnesses.map(async (witness) => {
      const records = await this.#sealWitness(witness, sealed.incarnation)
      if (records !== undefined) tails.set(witness, records)
    }))
    const hasQuorum = decisions.journal.gather(sealed, tails) !== undefined
    if (!hasQuorum && !await this.#areRecordsLost(sealed, tails)) return undefined
    const gather = hasQuorum ? decisions.journal.gather : decisions.journal.gatherChargingHeadroom
    const gathered = await this.#updateJournal(sealed.incarnation, (stored) => gather(stored, tails) ?? stored)
    if (!hasQuorum) this.#options.logger.warn({ event: 'records-lost', incarnation: sealed.incarnation, headroom: sealed.headroom })
    this.#options.logger.info({ event: 'gathered', incarnation: sealed.incarnation, witnesses: tails.size, open: Object.keys(gathered?.open ?? {}).length })
    return gathered
  }

  /** Returns whether the owner and all witnesses that did not reply have provably ended, so that their records are lost. */
  async #areRecordsLost (sealed: Journal, tails: ReadonlyMap<string, unknown>): Promise<boolean> {
    if (!await this.#options.isReplaced(sealed.host, sealed.process)) return false
    for (const witness of sealed.witnesses) {
      if (tails.has(witness)) continue
      const journal = await this.#readJournal(witness)
      if (journal === undefined || !await this.#options.isReplaced(journal.host, journal.process)) return false
    }
    return true
  }

  async #sealWitness (witness: string, incarnation: string): Promise<decisions.journalTypes.LogRecord[] | undefined> {
    try {
      const journal = await this.#readJournal(witness)
      if (journal === undefined) return undefined
      // Uses the address in the witness's own journal: a witness that is itself sealed may still run and hold the copies.
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

  /** Asks the targets for the outcome of each open request. A request without a known outcome stays open. */
  async #settleOpenRequests (gathered: Journal): Promise<Journal> {
    const intents = Object.values(gathered.open)
    if (intents.length === 0) return gathered
    const outcomes = await Promise.all(intents.map((intent) => this.#options.settler.settle(intent, gathered.incarnation)))
    const settled = await this.#updateJournal(gathered.incarnation, (stored) => applyOutcomes(stored, outcomes))
    return settled ?? gathered
  }

  async #fold (settled: Journal): Promise<void> {
    for (const budget of settled.budgets) await this.#foldBudget(budget, settled)
    await billSegments.writeSegment(this.#options.platform, settled.incarnation, settled.nextSegment, settled.bills)
    await this.#updateJournal(settled.incarnation, (stored) => ({
      ...stored,
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
      (stored) => {
        if (stored === undefined) return { kind: 'keep', result: undefined }
        const folded = decisions.ledgerPage.foldIncarnation(stored, settled.incarnation, settled.spent[budget] ?? {})
        return folded === stored ? { kind: 'keep', result: undefined } : { kind: 'write', value: folded, result: undefined }
      }
    )
  }

  async #updateJournal (incarnation: string, change: (stored: Journal) => Journal): Promise<Journal | undefined> {
    return await platform.conditionalUpdate.updateObject<Journal, Journal | undefined>(
      this.#options.platform,
      platform.objectKeys.journalKey(incarnation),
      (stored) => {
        if (stored === undefined) return { kind: 'keep', result: undefined }
        const next = change(stored)
        return next === stored ? { kind: 'keep', result: stored } : { kind: 'write', value: next, result: next }
      }
    )
  }
}

function applyOutcomes (stored: Journal, outcomes: settlers.SettleOutcome[]): Journal {
  if (stored.state !== decisions.journalTypes.JournalState.gathered) return stored
  const next = structuredClone(stored)
  let hasChanged = false
  for (const outcome of outcomes) {
    if (outcome.kind === 'billed') hasChanged = decisions.journal.settleIntent(next, outcome.bill) || hasChanged
    if (outcome.kind === 'not-run') hasChanged = decisions.journal.dropIntent(next, outcome.requestId) || hasChanged
  }
  return hasChanged ? next : stored
}
