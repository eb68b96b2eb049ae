import * as decisions from '@acaciaweir/decisions'
import type * as operators from '@acaciaweir/operators'
import * as platform from '@acaciaweir/platform'

/** What a client account has used of a budget. Unit: tokens. */
export interface MemberSpend {
  clientAccount: string
  capTokens: number
  spentTokens: number
}

/** What is known of a budget's spend. `heldTokens` are with routers, reserved or free. Unit: tokens. */
export interface BudgetSpend {
  budget: string
  totalTokens: number
  spentTokens: number
  heldTokens: number
  members: MemberSpend[]
}

/** Reads the spend of all budgets of a manifest, from ledger pages and journals. Throws PlatformUnavailable. */
export async function readSpend (client: platform.platformClient.PlatformClient, manifest: operators.manifest.Manifest): Promise<BudgetSpend[]> {
  const journals = await readJournals(client)
  const reports: BudgetSpend[] = []
  for (const budget of manifest.budgets) {
    const stored = await client.read(platform.objectKeys.ledgerKey(budget.id))
    reports.push(budgetSpend(budget, stored?.value as decisions.ledgerTypes.LedgerPage | undefined, journals))
  }
  return reports
}

/** Reads all bills, one for each client account and key. Throws PlatformUnavailable. */
export async function readBills (client: platform.platformClient.PlatformClient): Promise<decisions.journalTypes.Bill[]> {
  const segments = await client.list(platform.objectKeys.SEGMENT_PREFIX)
  const fromSegments = segments.flatMap((segment) => (segment.value as { bills: decisions.journalTypes.Bill[] }).bills)
  const fromJournals = (await readJournals(client)).flatMap((journal) => journal.bills)
  const bills = new Map<string, decisions.journalTypes.Bill>()
  for (const bill of [...fromSegments, ...fromJournals]) {
    const name = decisions.journal.claimName(bill.account, bill.key)
    const known = bills.get(name)
    if (known === undefined || isMoreComplete(bill, known)) bills.set(name, bill)
  }
  return [...bills.values()]
}

/** Of two bills for one request, the one for the whole answer counts. */
function isMoreComplete (bill: decisions.journalTypes.Bill, known: decisions.journalTypes.Bill): boolean {
  const { complete } = decisions.journalTypes.BillOutcome
  return bill.outcome === complete && known.outcome !== complete
}

async function readJournals (client: platform.platformClient.PlatformClient): Promise<decisions.journalTypes.Journal[]> {
  const objects = await client.list(platform.objectKeys.JOURNAL_PREFIX)
  return objects.map((object) => object.value as decisions.journalTypes.Journal)
}

function budgetSpend (budget: operators.manifest.ManifestBudget, page: decisions.ledgerTypes.LedgerPage | undefined, journals: decisions.journalTypes.Journal[]): BudgetSpend {
  const listed = journals.filter((journal) => page?.incarnations[journal.incarnation] !== undefined)
  const members = budget.members.map((member) => ({ ...member, spentTokens: spentOf(budget.id, member.clientAccount, page, listed) }))
  const spentTokens = members.reduce((sum, member) => sum + member.spentTokens, 0)
  const drawn = page === undefined ? 0 : decisions.ledgerPage.totalDrawn(page)
  return { budget: budget.id, totalTokens: budget.totalTokens, spentTokens, heldTokens: drawn - spentTokens, members }
}

function spentOf (budget: string, account: string, page: decisions.ledgerTypes.LedgerPage | undefined, listed: decisions.journalTypes.Journal[]): number {
  const unfolded = listed.reduce((sum, journal) => sum + (journal.spent[budget]?.[account] ?? 0), 0)
  return (page?.foldedSpent[account] ?? 0) + unfolded
}
