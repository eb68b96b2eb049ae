import * as operators from '@acaciaweir/operators'
import * as fs from 'node:fs'
import * as exits from './exit-codes.js'
import * as jsonSyntax from './json-syntax.js'

/** Reads and validates a manifest file. Throws CommandError with all validation errors. */
export function readManifestFile (path: string): operators.manifest.Manifest {
  return validManifest(path, readJsonFile(path))
}

/** Validates a manifest, which errors name as `label`. Throws CommandError with all validation errors. */
export function validManifest (label: string, value: unknown): operators.manifest.Manifest {
  const validation = operators.manifest.validateManifest(value)
  if (validation.kind === 'valid') return validation.manifest
  const lines = validation.issues.map((issue) => `  ${issue.path === '' ? '(whole manifest)' : issue.path}: ${issue.message}`)
  throw new exits.CommandError(`${label} is not a valid manifest, ${validation.issues.length} error(s):\n${lines.join('\n')}`, exits.ExitCode.invalidInput, validation.issues)
}

/** Reads a JSON file. Throws CommandError, with the line and column where the text is no JSON. */
export function readJsonFile (path: string): unknown {
  let text = ''
  try {
    text = fs.readFileSync(path, 'utf8')
    return JSON.parse(text)
  } catch (error) {
    throw new exits.CommandError(`${path} cannot be read: ${(error as Error).message}${placeOf(error as Error, text)}`, exits.ExitCode.invalidInput)
  }
}

/** Returns the line and column of a syntax error, each counted from 1; nothing for another error. */
function placeOf (error: Error, text: string): string {
  if (!(error instanceof SyntaxError)) return ''
  const lines = text.slice(0, jsonSyntax.findSyntaxError(text)).split('\n')
  return `, at line ${lines.length}, column ${(lines.at(-1) ?? '').length + 1}`
}

/** A value that differs between two manifests. */
export interface ManifestDifference {
  path: string
  before: unknown
  after: unknown
}

/** Lists the differences between two values. Array entries are matched by their `id`, `clientAccount` or `name`, else by their index. */
export function diffManifests (before: unknown, after: unknown, path = ''): ManifestDifference[] {
  if (JSON.stringify(before) === JSON.stringify(after)) return []
  if (!isObject(before) || !isObject(after)) return [{ path, before, after }]
  const left = entriesById(before)
  const right = entriesById(after)
  const names = new Set([...Object.keys(left), ...Object.keys(right)])
  return [...names].flatMap((name) => diffManifests(left[name], right[name], path === '' ? name : `${path}.${name}`))
}

function isObject (value: unknown): value is object {
  return typeof value === 'object' && value !== null
}

function entriesById (value: object): Record<string, unknown> {
  if (!Array.isArray(value)) return value as Record<string, unknown>
  return Object.fromEntries(value.map((entry, index) => [idOf(entry) ?? String(index), entry as unknown]))
}

function idOf (entry: unknown): string | undefined {
  if (!isObject(entry)) return undefined
  const named = entry as { id?: string, clientAccount?: string, name?: string }
  return named.id ?? named.clientAccount ?? named.name
}
