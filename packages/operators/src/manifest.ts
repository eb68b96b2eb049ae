import * as zod from 'zod'

const identifierSchema = zod.string().regex(/^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$/, 'must be 1 to 63 letters, digits, "-" or "_", and start with a letter or digit')
const tokenCountSchema = zod.int().min(0)
const urlSchema = zod.url({ protocol: /^https?$/ })

const modelSchema = zod.strictObject({
  id: identifierSchema,
  /** Maximum number of output tokens of a request, and the default for a request that sets no maximum. */
  maximumOutputTokens: zod.int().min(1)
})

const serviceSchema = zod.strictObject({
  id: identifierSchema,
  /** Price of one call in tokens. */
  tokensPerCall: tokenCountSchema,
  timeoutMs: zod.int().min(1).max(600_000).default(10_000)
})

const clientAccountSchema = zod.strictObject({
  id: identifierSchema,
  /** SHA-256 hashes of the account's bearer keys, in hexadecimal. */
  keyHashes: zod.array(zod.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 hash in lower-case hexadecimal')).min(1),
  /** Requests with a higher priority are served first. */
  priority: zod.int().min(0).max(9).default(5),
  defaultBudget: identifierSchema
})

const budgetSchema = zod.strictObject({
  id: identifierSchema,
  totalTokens: tokenCountSchema,
  /** Client accounts that may spend from the budget, each with its cap. */
  members: zod.array(zod.strictObject({ clientAccount: identifierSchema, capTokens: tokenCountSchema })).min(1)
})

const targetSchema = zod.strictObject({
  id: identifierSchema,
  kind: zod.enum(['engine', 'service']),
  address: urlSchema,
  availabilityZone: identifierSchema,
  /** Identifiers of the models of an engine, or of the services of a plain service. */
  serves: zod.array(identifierSchema).min(1),
  /** Maximum number of concurrent requests. */
  slots: zod.int().min(1).default(32),
  /** The target rejects requests with an outdated fencing token. */
  checksFencing: zod.boolean().default(false),
  leaving: zod.boolean().default(false)
})

const hostSchema = zod.strictObject({ id: identifierSchema, leaving: zod.boolean().default(false) })

/** The operators' configuration: models, services, client accounts with their prepaid budgets, targets and hosts. */
export const manifestSchema = zod.strictObject({
  name: identifierSchema,
  models: zod.array(modelSchema).default([]),
  services: zod.array(serviceSchema).default([]),
  clientAccounts: zod.array(clientAccountSchema),
  budgets: zod.array(budgetSchema),
  targets: zod.array(targetSchema),
  /** Entry hosts for which operators set options. A host that is not listed serves as well. */
  hosts: zod.array(hostSchema).default([])
}).superRefine(checkReferences)

/** A valid manifest. */
export type Manifest = zod.infer<typeof manifestSchema>
export type ManifestTarget = zod.infer<typeof targetSchema>
export type ManifestBudget = zod.infer<typeof budgetSchema>
export type ManifestClientAccount = zod.infer<typeof clientAccountSchema>

/** A validation error of a manifest, with the path to the invalid value. */
export interface ManifestIssue {
  path: string
  message: string
}

export type ManifestValidation =
  | { kind: 'valid', manifest: Manifest }
  | { kind: 'invalid', issues: ManifestIssue[] }

/** Validates a manifest, including the references between its parts. Lists all errors. */
export function validateManifest (value: unknown): ManifestValidation {
  const parsed = manifestSchema.safeParse(value)
  if (parsed.success) return { kind: 'valid', manifest: parsed.data }
  const issues = parsed.error.issues.map((issue) => ({ path: issue.path.join('.'), message: issue.message }))
  return { kind: 'invalid', issues }
}

interface ReferenceCheckInput {
  models: Array<{ id: string }>
  services: Array<{ id: string }>
  clientAccounts: Array<{ id: string, defaultBudget: string, keyHashes: string[] }>
  budgets: Array<{ id: string, members: Array<{ clientAccount: string }> }>
  targets: Array<{ id: string, kind: 'engine' | 'service', serves: string[] }>
  hosts: Array<{ id: string }>
}

function checkReferences (manifest: ReferenceCheckInput, context: zod.RefinementCtx): void {
  const addIssue = (path: Array<string | number>, message: string): void => {
    context.addIssue({ code: 'custom', path, message })
  }
  checkUnique('models', manifest.models, addIssue)
  checkUnique('services', manifest.services, addIssue)
  checkUnique('clientAccounts', manifest.clientAccounts, addIssue)
  checkUnique('budgets', manifest.budgets, addIssue)
  checkUnique('targets', manifest.targets, addIssue)
  checkUnique('hosts', manifest.hosts, addIssue)
  checkBudgets(manifest, addIssue)
  checkAccounts(manifest, addIssue)
  checkTargets(manifest, addIssue)
}

type AddIssue = (path: Array<string | number>, message: string) => void

function checkUnique (listName: string, entries: Array<{ id: string }>, addIssue: AddIssue): void {
  const seen = new Set<string>()
  entries.forEach((entry, index) => {
    if (seen.has(entry.id)) addIssue([listName, index, 'id'], `duplicate identifier "${entry.id}"`)
    seen.add(entry.id)
  })
}

function checkBudgets (manifest: ReferenceCheckInput, addIssue: AddIssue): void {
  const accounts = new Set(manifest.clientAccounts.map((account) => account.id))
  manifest.budgets.forEach((budget, index) => {
    const seen = new Set<string>()
    budget.members.forEach((member, position) => {
      const path = ['budgets', index, 'members', position, 'clientAccount']
      if (!accounts.has(member.clientAccount)) addIssue(path, `there is no client account "${member.clientAccount}"`)
      if (seen.has(member.clientAccount)) addIssue(path, `duplicate member "${member.clientAccount}"`)
      seen.add(member.clientAccount)
    })
  })
}

function checkAccounts (manifest: ReferenceCheckInput, addIssue: AddIssue): void {
  const budgets = new Map(manifest.budgets.map((budget) => [budget.id, budget]))
  const hashes = new Set<string>()
  manifest.clientAccounts.forEach((account, index) => {
    const path = ['clientAccounts', index, 'defaultBudget']
    const budget = budgets.get(account.defaultBudget)
    const isMember = budget?.members.some((entry) => entry.clientAccount === account.id)
    if (budget === undefined) addIssue(path, `there is no budget "${account.defaultBudget}"`)
    else if (isMember === false) addIssue(path, `client account "${account.id}" is not a member of budget "${account.defaultBudget}"`)
    account.keyHashes.forEach((hash, position) => {
      if (hashes.has(hash)) addIssue(['clientAccounts', index, 'keyHashes', position], 'duplicate key hash')
      hashes.add(hash)
    })
  })
}

function checkTargets (manifest: ReferenceCheckInput, addIssue: AddIssue): void {
  const servedIds = {
    engine: new Set(manifest.models.map((model) => model.id)),
    service: new Set(manifest.services.map((service) => service.id))
  }
  manifest.targets.forEach((target, index) => {
    target.serves.forEach((id, position) => {
      if (servedIds[target.kind].has(id)) return
      addIssue(['targets', index, 'serves', position], `there is no ${target.kind === 'engine' ? 'model' : 'service'} "${id}"`)
    })
  })
}
