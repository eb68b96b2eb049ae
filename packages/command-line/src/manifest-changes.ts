import type * as operators from '@acaciaweir/operators'
import * as exits from './exit-codes.js'

type Manifest = operators.manifest.Manifest

/**
 * Returns the manifest with tokens added to a budget's total, and to the cap of a client account if one is given.
 * Throws CommandError if the budget or its member does not exist.
 */
export function topUpBudget (manifest: Manifest, budgetId: string, tokens: number, clientAccount: string | undefined): Manifest {
  const changed = structuredClone(manifest)
  const budget = foundOrThrow(changed.budgets.find((entry) => entry.id === budgetId), `budget "${budgetId}"`)
  budget.totalTokens += tokens
  if (clientAccount === undefined) return changed
  foundOrThrow(budget.members.find((entry) => entry.clientAccount === clientAccount), `member "${clientAccount}"`).capTokens += tokens
  return changed
}

/** Returns the manifest with a target's `leaving` mark set or cleared. Throws CommandError if the target does not exist. */
export function setTargetLeaving (manifest: Manifest, id: string, leaving: boolean): Manifest {
  const changed = structuredClone(manifest)
  foundOrThrow(changed.targets.find((entry) => entry.id === id), `target "${id}"`).leaving = leaving
  return changed
}

/** Returns the manifest with an entry host's `leaving` mark set or cleared. Adds the host if it is not listed. */
export function setHostLeaving (manifest: Manifest, id: string, leaving: boolean): Manifest {
  const changed = structuredClone(manifest)
  const host = changed.hosts.find((entry) => entry.id === id)
  if (host === undefined) changed.hosts.push({ id, leaving })
  else host.leaving = leaving
  return changed
}

function foundOrThrow<Value> (value: Value | undefined, description: string): Value {
  if (value === undefined) throw new exits.CommandError(`there is no ${description} in the configuration in force`, exits.ExitCode.invalidInput)
  return value
}
