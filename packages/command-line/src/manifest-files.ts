import * as operators from '@acaciaweir/operators'
import * as fs from 'node:fs'
import * as exits from './exit-codes.js'

/** Reads and checks a manifest file. Throws CommandError with all faults. */
export function readManifestFile (path: string): operators.manifest.Manifest {
  const check = operators.manifest.checkManifest(parseFile(path))
  if (check.kind === 'valid') return check.manifest
  const lines = check.faults.map((fault) => `  ${fault.path === '' ? '(whole manifest)' : fault.path}: ${fault.message}`)
  throw new exits.CommandError(`${path} has ${check.faults.length} fault(s):\n${lines.join('\n')}`, exits.ExitCode.badInput, check.faults)
}

function parseFile (path: string): unknown {
  try {
    return JSON.parse(fs.readFileSync(path, 'utf8'))
  } catch (error) {
    throw new exits.CommandError(`${path} cannot be read: ${(error as Error).message}`, exits.ExitCode.badInput)
  }
}

/** One difference between two manifests. */
export interface ManifestDifference {
  path: string
  before: unknown
  after: unknown
}

/** Lists the differences between two values; list entries are matched by their id. */
export function diffManifests (before: unknown, after: unknown, path = ''): ManifestDifference[] {
  if (JSON.stringify(before) === JSON.stringify(after)) return []
  if (!isObject(before) || !isObject(after)) return [{ path, before, after }]
  const left = indexed(before)
  const right = indexed(after)
  const names = new Set([...Object.keys(left), ...Object.keys(right)])
  return [...names].flatMap((name) => diffManifests(left[name], right[name], path === '' ? name : `${path}.${name}`))
}

function isObject (value: unknown): value is object {
  return typeof value === 'object' && value !== null
}

function indexed (value: object): Record<string, unknown> {
  if (!Array.isArray(value)) return value as Record<string, unknown>
  return Object.fromEntries(value.map((entry, index) => [nameOf(entry) ?? String(index), entry as unknown]))
}

function nameOf (entry: unknown): string | undefined {
  if (!isObject(entry)) return undefined
  const named = entry as { id?: string, clientAccount?: string }
  return named.id ?? named.clientAccount
}
