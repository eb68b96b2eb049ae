import * as decisions from '@acaciaweir/decisions'
import * as operators from '@acaciaweir/operators'
import * as adapter from '@acaciaweir/platform-adapter'
import * as exits from './exit-codes.js'
import * as files from './manifest-files.js'

/** A broken rule, with the path as operators write it. */
export interface ReportedFinding {
  severity: decisions.configurationRules.Severity
  rule: string
  path: string
  text: string
}

/** Result of the check of a configuration. */
export interface CheckReport {
  kind: 'manifest' | 'configuration'
  findings: ReportedFinding[]
  /** What differs from the other version; undefined if none was named. */
  differences: files.ManifestDifference[] | undefined
  /** What callers notice of the change. */
  notices: decisions.agreementNotices.AgreementNotice[]
}

/** Characters of a key that a report shows. Keys are secrets. */
const SHOWN_KEY_CHARACTERS = 4

/**
 * Checks a manifest or a configuration of the platform, by its content, and compares it with another version of it where one is given.
 * Throws CommandError if one of them is invalid, with all errors and their paths.
 */
export function checkConfiguration (label: string, value: unknown, previous?: { label: string, value: unknown }): CheckReport {
  if (previous !== undefined && adapter.configuration.isConfiguration(value) !== adapter.configuration.isConfiguration(previous.value)) {
    throw new exits.CommandError(`${label} and ${previous.label} are of different kinds`, exits.ExitCode.invalidInput)
  }
  return adapter.configuration.isConfiguration(value) ? checkAgreement(label, value, previous) : checkManifest(label, value, previous)
}

/** Returns true if a finding is as severe as asked for, or more. */
export function hasFindingsAt (report: CheckReport, severity: decisions.configurationRules.Severity): boolean {
  return report.findings.some((finding) => severity === decisions.configurationRules.Severity.warning || finding.severity === severity)
}

function checkManifest (label: string, value: unknown, previous: { label: string, value: unknown } | undefined): CheckReport {
  const manifest = files.validManifest(label, value)
  const findings = decisions.configurationRules.findAll(operators.manifestRules.manifestRules, manifest)
  return {
    kind: 'manifest',
    findings: findings.map((finding) => reported(finding, finding.path.join('.'))),
    differences: previous === undefined ? undefined : files.diffManifests(files.validManifest(previous.label, previous.value), manifest),
    notices: []
  }
}

function checkAgreement (label: string, value: unknown, previous: { label: string, value: unknown } | undefined): CheckReport {
  const agreement = validAgreement(label, value)
  const inForce = previous === undefined ? undefined : validAgreement(previous.label, previous.value)
  const findings = decisions.configurationRules.findAll(decisions.agreementRules.agreementRules, agreement)
  return {
    kind: 'configuration',
    findings: findings.map((finding) => reported(finding, adapter.configuration.fieldPath(finding.path))),
    differences: inForce === undefined ? undefined : files.diffManifests(withMaskedKeys(inForce), withMaskedKeys(agreement)),
    notices: inForce === undefined ? [] : decisions.agreementNotices.findNotices(inForce, agreement)
  }
}

function reported ({ rule, severity, text }: decisions.configurationRules.Finding, path: string): ReportedFinding {
  return { severity, rule, path, text }
}

function validAgreement (label: string, value: unknown): decisions.agreementTypes.Agreement {
  const errors = adapter.configuration.findConfigurationErrors(value)
  if (errors.length === 0) return adapter.configuration.decodeConfiguration(value)
  const lines = errors.map(({ path, message }) => `  ${path === '' ? '(whole configuration)' : path}: ${message}`)
  throw new exits.CommandError(`${label} is not a valid configuration, ${errors.length} error(s):\n${lines.join('\n')}`, exits.ExitCode.invalidInput, errors)
}

function withMaskedKeys (agreement: decisions.agreementTypes.Agreement): decisions.agreementTypes.Agreement {
  const accounts = agreement.accounts?.map((account) => ({ ...account, keys: account.keys.map((key) => `${key.slice(0, SHOWN_KEY_CHARACTERS)}...`) }))
  return { ...agreement, accounts }
}
