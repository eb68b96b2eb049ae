import type * as operators from '@acaciaweir/operators'
import * as crypto from 'node:crypto'

/** The bearer key of an example client account. */
export function exampleKey (account: string): string {
  return `key-of-${account}`
}

/** Describes a small deployment. */
export interface ExampleDeployment {
  name: string
  engines: Array<{ id: string, address: string }>
  services: Array<{ id: string, address: string }>
  availabilityZones: string[]
  accounts: string[]
  totalTokens: number
  capTokens: number
  slots: number
  /** Budgets beside the shared one, which nobody draws on. */
  extraBudgets?: number
}

/** Makes a manifest with one shared budget, one model and one plain service. */
export function exampleManifest (deployment: ExampleDeployment): operators.manifest.Manifest {
  const zone = (index: number): string => deployment.availabilityZones[index % deployment.availabilityZones.length]
  const target = (kind: 'engine' | 'service', serves: string) => (entry: { id: string, address: string }, index: number): operators.manifest.ManifestTarget => ({
    ...entry, kind, availabilityZone: zone(index), serves: [serves], slots: deployment.slots, checksFencing: false, leaving: false
  })
  return {
    name: deployment.name,
    models: [{ id: 'advisor', maximumOutputTokens: 400 }],
    services: [{ id: 'registry', tokensPerCall: 10, timeoutMs: 3000 }],
    clientAccounts: deployment.accounts.map((id) => ({ id, keyHashes: [hashKey(exampleKey(id))], priority: 5, defaultBudget: 'shared' })),
    budgets: [budgetOf('shared', deployment), ...Array.from({ length: deployment.extraBudgets ?? 0 }, (_value, index) => extraBudget(index, deployment))],
    targets: [
      ...deployment.engines.map(target('engine', 'advisor')),
      ...deployment.services.map(target('service', 'registry'))
    ],
    hosts: []
  }
}

function budgetOf (id: string, deployment: ExampleDeployment): operators.manifest.ManifestBudget {
  const members = deployment.accounts.map((clientAccount) => ({ clientAccount, capTokens: deployment.capTokens }))
  return { id, totalTokens: deployment.totalTokens, members }
}

function extraBudget (index: number, deployment: ExampleDeployment): operators.manifest.ManifestBudget {
  const clientAccount = deployment.accounts[index % deployment.accounts.length]
  return { id: `budget-${index}`, totalTokens: deployment.totalTokens, members: [{ clientAccount, capTokens: deployment.capTokens }] }
}

function hashKey (key: string): string {
  return crypto.createHash('sha256').update(key).digest('hex')
}
