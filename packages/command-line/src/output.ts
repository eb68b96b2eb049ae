import type * as decisions from '@acaciaweir/decisions'
import type * as operators from '@acaciaweir/operators'
import type * as files from './manifest-files.js'
import type * as spend from './spend-report.js'

/** Columns are at least two spaces apart. */
const COLUMN_GAP = 2

/** Lines for the differences between two manifests. */
export function differenceLines (differences: files.ManifestDifference[]): string {
  if (differences.length === 0) return 'no differences'
  return differences.map((difference) => `${difference.path}: ${text(difference.before)} -> ${text(difference.after)}`).join('\n')
}

/** A table of budgets, each followed by its members. */
export function budgetTable (budgets: spend.BudgetSpend[]): string {
  const rows = budgets.flatMap((budget) => [
    [budget.budget, '', budget.totalTokens, budget.spentTokens, budget.heldTokens],
    ...budget.members.map((member) => ['', member.clientAccount, member.capTokens, member.spentTokens, ''])
  ])
  return table(['BUDGET', 'CLIENT ACCOUNT', 'LIMIT', 'SPENT', 'HELD BY ROUTERS'], rows)
}

/** A table of bills. */
export function billTable (bills: decisions.journalTypes.Bill[]): string {
  const rows = bills.map((bill) => [bill.account, bill.budget, bill.key, bill.target, bill.promptTokens, bill.completionTokens, bill.outcome])
  return table(['CLIENT ACCOUNT', 'BUDGET', 'KEY', 'TARGET', 'PROMPT', 'COMPLETION', 'OUTCOME'], rows)
}

/** A table of registered routers. */
export function hostTable (hosts: decisions.membership.Member[]): string {
  const rows = hosts.map((host) => [host.host, host.availabilityZone, host.callerAddress, host.incarnation])
  return table(['HOST', 'AVAILABILITY ZONE', 'ADDRESS', 'INCARNATION'], rows)
}

/** A table of targets. */
export function targetTable (targets: operators.manifest.ManifestTarget[]): string {
  const rows = targets.map((target) => [target.id, target.kind, target.availabilityZone, target.address, target.serves.join(','), target.leaving ? 'leaving' : 'serving'])
  return table(['TARGET', 'KIND', 'AVAILABILITY ZONE', 'ADDRESS', 'SERVES', 'STATE'], rows)
}

function table (titles: string[], rows: Array<Array<string | number>>): string {
  const lines = [titles, ...rows.map((row) => row.map(String))]
  const widths = titles.map((_title, column) => Math.max(...lines.map((line) => line[column].length)))
  return lines.map((line) => line.map((cell, column) => cell.padEnd(widths[column] + COLUMN_GAP)).join('').trimEnd()).join('\n')
}

function text (value: unknown): string {
  return value === undefined ? '(none)' : JSON.stringify(value)
}
