import * as decisions from '@acaciaweir/decisions'
import type * as operators from '@acaciaweir/operators'
import * as platform from '@acaciaweir/platform'

/** Spending of one client account from a budget. Unit: tokens. */
export interface MemberSpend {
  clientAccount: string
  capTokens: number
  spentTokens: number
}

/** Spending from a budget, by member. `heldTokens` are granted to routers and not spent: reserved or free. Unit: tokens. */
export interface BudgetSpend {
  budget: string
  totalTokens: number
  spentTokens: number
  heldTokens: number
  members: MemberSpend[]
}

/** Returns the spending from all budgets of a manifest, computed from ledger pages and journals. Throws PlatformUnavailable. */
export async function readBudgetSpend (client: platform.platformClient.PlatformClient, manifest: operators.manifest.Manifest): Promise<BudgetSpend[]> {
  const journals = await readJournals(client)
  const reports: BudgetSpend[] = []
  for (const budget of manifest.budgets) {
    const stored = await client.read(platform.objectKeys.ledgerKey(budget.id))
    reports.push(summarizeBudget(budget, stored?.value as decisions.ledgerTypes.LedgerPage | undefined, journals))
  }
  return reports
}

/** Returns all bills, one per client account and idempotency key. Throws PlatformUnavailable. */
export async function readBills (client: platform.platformClient.PlatformClient): Promise<decisions.journalTypes.Bill[]> {
  const segments = await client.list(platform.objectKeys.BILL_SEGMENT_PREFIX)
  const fromSegments = segments.flatMap((segment) => (segment.value as { bills: decisions.journalTypes.Bill[] }).bills)
  const fromJournals = (await readJournals(client)).flatMap((journal) => journal.bills)
  const bills = new Map<string, decisions.journalTypes.Bill>()
  for (const bill of [...fromSegments, ...fromJournals]) {
    const requestName = decisions.journal.claimName(bill.account, bill.key)
    const known = bills.get(requestName)
    if (known === undefined || isMoreComplete(bill, known)) bills.set(requestName, bill)
  }
  return [...bills.values()]
}

/** Decides between two bills of the same request: the bill of the complete answer counts. */
function isMoreComplete (bill: decisions.journalTypes.Bill, known: decisions.journalTypes.Bill): boolean {
  const { complete } = decisions.journalTypes.BillOutcome
  return bill.outcome === complete && known.outcome !== complete
}

async function readJournals (client: platform.platformClient.PlatformClient): Promise<decisions.journalTypes.Journal[]> {
  const objects = await client.list(platform.objectKeys.JOURNAL_PREFIX)
  return objects.map((object) => object.value as decisions.journalTypes.Journal)
}

function summarizeBudget (budget: operators.manifest.ManifestBudget, page: decisions.ledgerTypes.LedgerPage | undefined, journals: decisions.journalTypes.Journal[]): BudgetSpend {
  // The spending of folded incarnations is already part of the page.
  const unfoldedJournals = journals.filter((journal) => page?.incarnations[journal.incarnation] !== undefined)
  const members = budget.members.map((member) => ({ ...member, spentTokens: memberSpentTokens(budget.id, member.clientAccount, page, unfoldedJournals) }))
  const spentTokens = members.reduce((sum, member) => sum + member.spentTokens, 0)
  const drawnTokens = page === undefined ? 0 : decisions.ledgerPage.totalDrawn(page)
  return { budget: budget.id, totalTokens: budget.totalTokens, spentTokens, heldTokens: drawnTokens - spentTokens, members }
}

function memberSpentTokens (budget: string, account: string, page: decisions.ledgerTypes.LedgerPage | undefined, unfoldedJournals: decisions.journalTypes.Journal[]): number {
  const unfoldedTokens = unfoldedJournals.reduce((sum, journal) => sum + (journal.spent[budget]?.[account] ?? 0), 0)
  return (page?.foldedSpent[account] ?? 0) + unfoldedTokens
}
