import type * as operators from '@acaciaweir/operators'
import * as crypto from 'node:crypto'

/** Returns the API key of a client account of the example manifest, sent as its bearer token. */
export function exampleApiKey (account: string): string {
  return `key-of-${account}`
}

/** Size, targets and limits of the deployment that an example manifest describes. */
export interface ExampleDeployment {
  name: string
  engines: Array<{ id: string, address: string }>
  services: Array<{ id: string, address: string }>
  availabilityZones: string[]
  accounts: string[]
  totalTokens: number
  capTokens: number
  slots: number
  /** Number of unused budgets in addition to the shared one. Default: 0. */
  extraBudgets?: number
}

/** Builds a manifest with one model, one plain service and one budget shared by all client accounts. */
export function exampleManifest (deployment: ExampleDeployment): operators.manifest.Manifest {
  const zoneOf = (index: number): string => deployment.availabilityZones[index % deployment.availabilityZones.length]
  const toTarget = (kind: 'engine' | 'service', serves: string) => (entry: { id: string, address: string }, index: number): operators.manifest.ManifestTarget => ({
    ...entry, kind, availabilityZone: zoneOf(index), serves: [serves], slots: deployment.slots, checksFencing: false, leaving: false
  })
  return {
    name: deployment.name,
    models: [{ id: 'advisor', maximumOutputTokens: 400 }],
    services: [{ id: 'registry', tokensPerCall: 10, timeoutMs: 3000 }],
    clientAccounts: deployment.accounts.map((id) => ({ id, keyHashes: [hashKey(exampleApiKey(id))], priority: 5, defaultBudget: 'shared' })),
    budgets: [sharedBudget('shared', deployment), ...Array.from({ length: deployment.extraBudgets ?? 0 }, (_value, index) => extraBudget(index, deployment))],
    targets: [
      ...deployment.engines.map(toTarget('engine', 'advisor')),
      ...deployment.services.map(toTarget('service', 'registry'))
    ],
    hosts: []
  }
}

function sharedBudget (id: string, deployment: ExampleDeployment): operators.manifest.ManifestBudget {
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
