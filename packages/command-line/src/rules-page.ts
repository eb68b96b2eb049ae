import * as decisions from '@acaciaweir/decisions'
import * as operators from '@acaciaweir/operators'

/** Returns the rules of a check as a table of Markdown. */
export function formatRules (rules: ReadonlyArray<{ name: string, severity: string, sentence: string }>): string {
  return ['| rule | finding | what it asks for |', '|---|---|---|', ...rules.map(({ name, sentence, severity }) => `| \`${name}\` | ${severity} | ${sentence} |`)].join('\n')
}

/** Tables of the page about manifests and configurations, by the heading above each. */
export const RULE_TABLES = {
  'Rules for a manifest': formatRules(operators.manifestRules.manifestRules),
  'Rules for a configuration of the platform': formatRules(decisions.agreementRules.agreementRules)
} as const

/** Returns the page with its tables as the rules are now. A table ends with the first line that does not begin with a vertical bar. */
export function updatePage (page: string): string {
  return Object.entries(RULE_TABLES).reduce((text, [heading, table]) => text.replace(new RegExp(`(### ${heading}\\n\\n)(\\|.*\\n)*`), `$1${table}\n`), page)
}
