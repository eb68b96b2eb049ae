import type * as operators from '@acaciaweir/operators'
import * as exits from './exit-codes.js'

type Manifest = operators.manifest.Manifest

/** Adds tokens to a budget's total, and to a member's cap where one is named. Throws CommandError. */
export function topUp (manifest: Manifest, budgetId: string, tokens: number, clientAccount: string | undefined): Manifest {
  const changed = structuredClone(manifest)
  const budget = found(changed.budgets.find((entry) => entry.id === budgetId), `budget "${budgetId}"`)
  budget.totalTokens += tokens
  if (clientAccount === undefined) return changed
  found(budget.members.find((entry) => entry.clientAccount === clientAccount), `member "${clientAccount}"`).capTokens += tokens
  return changed
}

/** Marks a target as leaving, or as staying. Throws CommandError. */
export function drainTarget (manifest: Manifest, id: string, leaving: boolean): Manifest {
  const changed = structuredClone(manifest)
  found(changed.targets.find((entry) => entry.id === id), `target "${id}"`).leaving = leaving
  return changed
}

/** Marks an entry host as leaving, or as staying. */
export function drainHost (manifest: Manifest, id: string, leaving: boolean): Manifest {
  const changed = structuredClone(manifest)
  const host = changed.hosts.find((entry) => entry.id === id)
  if (host === undefined) changed.hosts.push({ id, leaving })
  else host.leaving = leaving
  return changed
}

function found<Value> (value: Value | undefined, what: string): Value {
  if (value === undefined) throw new exits.CommandError(`there is no ${what} in the configuration in force`, exits.ExitCode.badInput)
  return value
}
