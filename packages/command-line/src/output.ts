import type * as decisions from '@acaciaweir/decisions'
import type * as operators from '@acaciaweir/operators'
import type * as checks from './configuration-check.js'
import type * as files from './manifest-files.js'
import type * as spend from './spend-report.js'

const COLUMN_GAP_CHARACTERS = 2

/** Formats the differences between two manifests, one a line. */
export function formatDifferences (differences: files.ManifestDifference[]): string {
  if (differences.length === 0) return 'no differences'
  return differences.map((difference) => `${difference.path}: ${formatValue(difference.before)} -> ${formatValue(difference.after)}`).join('\n')
}

const SEVERITY_COLOURS = { error: '\u001b[31m', warning: '\u001b[33m' } as const

const COLOUR_END = '\u001b[0m'

/** Formats the report of a check: findings, what callers notice, and differences, one a line. */
export function formatCheckReport (label: string, report: checks.CheckReport, isTerminal: boolean): string {
  const findings = report.findings.map(({ path, rule, severity, text }) => {
    return `${isTerminal ? `${SEVERITY_COLOURS[severity]}${severity}${COLOUR_END}` : severity} ${path}: ${text} (${rule})`
  })
  const heading = findings.length === 0 ? `${label} is valid` : `${label}: ${findings.length} finding(s)`
  const notices = report.notices.map(({ name, text }) => `notice: ${text} (${name})`)
  return [heading, ...findings, ...notices, ...(report.differences === undefined ? [] : [formatDifferences(report.differences)])].join('\n')
}

/** Formats a table of budgets, each followed by its members. */
export function formatBudgets (budgets: spend.BudgetSpend[]): string {
  const rows = budgets.flatMap((budget) => [
    [budget.budget, '', budget.totalTokens, budget.spentTokens, budget.heldTokens],
    ...budget.members.map((member) => ['', member.clientAccount, member.capTokens, member.spentTokens, ''])
  ])
  return formatTable(['BUDGET', 'CLIENT ACCOUNT', 'LIMIT', 'SPENT', 'HELD BY ROUTERS'], rows)
}

export function formatBills (bills: decisions.journalTypes.Bill[]): string {
  const rows = bills.map((bill) => [bill.account, bill.budget, bill.key, bill.target, bill.promptTokens, bill.completionTokens, bill.outcome])
  return formatTable(['CLIENT ACCOUNT', 'BUDGET', 'KEY', 'TARGET', 'PROMPT', 'COMPLETION', 'OUTCOME'], rows)
}

export function formatRouters (members: decisions.membership.Member[]): string {
  const rows = members.map((member) => [member.host, member.availabilityZone, member.callerAddress, member.incarnation])
  return formatTable(['HOST', 'AVAILABILITY ZONE', 'ADDRESS', 'INCARNATION'], rows)
}

export function formatTargets (targets: operators.manifest.ManifestTarget[]): string {
  const rows = targets.map((target) => [target.id, target.kind, target.availabilityZone, target.address, target.serves.join(','), target.leaving ? 'leaving' : 'serving'])
  return formatTable(['TARGET', 'KIND', 'AVAILABILITY ZONE', 'ADDRESS', 'SERVES', 'STATE'], rows)
}

function formatTable (headings: string[], rows: Array<Array<string | number>>): string {
  const lines = [headings, ...rows.map((row) => row.map(String))]
  const widths = headings.map((_heading, column) => Math.max(...lines.map((line) => line[column].length)))
  return lines.map((line) => line.map((cell, column) => cell.padEnd(widths[column] + COLUMN_GAP_CHARACTERS)).join('').trimEnd()).join('\n')
}

function formatValue (value: unknown): string {
  return value === undefined ? '(none)' : JSON.stringify(value)
}
