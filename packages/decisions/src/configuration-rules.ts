/** Severity of a finding. An error makes a part of the configuration useless or ambiguous; a warning is most likely a mistake. */
export const Severity = { error: 'error', warning: 'warning' } as const
export type Severity = typeof Severity[keyof typeof Severity]

/** Path to a value of a configuration: names of fields, and positions in lists from 0. */
export type FieldPath = ReadonlyArray<string | number>

/** A place at which a rule is broken. */
export interface Violation {
  path: FieldPath
  /** What is wrong there, without a full stop. */
  text: string
}

/** A rule that a valid configuration may still break. */
export interface ConfigurationRule<Subject> {
  name: string
  severity: Severity
  /** What the rule asks for, for the operators' page. */
  sentence: string
  findViolations: (subject: Subject) => Violation[]
}

/** A broken rule. */
export interface Finding extends Violation {
  rule: string
  severity: Severity
}

/** Returns all violations of the rules, errors first. */
export function findAll<Subject> (rules: ReadonlyArray<ConfigurationRule<Subject>>, subject: Subject): Finding[] {
  const findings = rules.flatMap((rule) => rule.findViolations(subject).map((violation) => ({ rule: rule.name, severity: rule.severity, ...violation })))
  return [...findings.filter(({ severity }) => severity === Severity.error), ...findings.filter(({ severity }) => severity === Severity.warning)]
}

/** Returns a violation for each item for which `describe` returns a text. `fields` follow the item's position in the path. */
export function violationsOf<Item> (list: string, items: readonly Item[], fields: readonly string[], describe: (item: Item, index: number) => string | undefined): Violation[] {
  return items.flatMap((item, index) => {
    const text = describe(item, index)
    return text === undefined ? [] : [{ path: [list, index, ...fields], text }]
  })
}

/** Returns a violation for each item whose key an earlier one has. */
export function duplicatesOf<Item> (list: string, items: readonly Item[], fields: readonly string[], keyOf: (item: Item) => string, describe: (item: Item, earlier: Item) => string): Violation[] {
  const first = new Map<string, Item>()
  return violationsOf(list, items, fields, (item) => {
    const earlier = first.get(keyOf(item))
    if (earlier === undefined) first.set(keyOf(item), item)
    return earlier === undefined ? undefined : describe(item, earlier)
  })
}
