import * as operators from '@acaciaweir/operators'
import * as fs from 'node:fs'
import * as exits from './exit-codes.js'

/** Reads and validates a manifest file. Throws CommandError with all validation errors. */
export function readManifestFile (path: string): operators.manifest.Manifest {
  const validation = operators.manifest.validateManifest(readJsonFile(path))
  if (validation.kind === 'valid') return validation.manifest
  const lines = validation.issues.map((issue) => `  ${issue.path === '' ? '(whole manifest)' : issue.path}: ${issue.message}`)
  throw new exits.CommandError(`${path} is not a valid manifest, ${validation.issues.length} error(s):\n${lines.join('\n')}`, exits.ExitCode.invalidInput, validation.issues)
}

function readJsonFile (path: string): unknown {
  try {
    return JSON.parse(fs.readFileSync(path, 'utf8'))
  } catch (error) {
    throw new exits.CommandError(`${path} cannot be read: ${(error as Error).message}`, exits.ExitCode.invalidInput)
  }
}

/** A value that differs between two manifests. */
export interface ManifestDifference {
  path: string
  before: unknown
  after: unknown
}

/** Lists the differences between two values. Array entries are matched by their `id` or `clientAccount`, else by their index. */
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
  const named = entry as { id?: string, clientAccount?: string }
  return named.id ?? named.clientAccount
}
