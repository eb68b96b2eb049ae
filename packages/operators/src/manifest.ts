import * as zod from 'zod'

const name = zod.string().regex(/^[A-Za-z0-9][A-Za-z0-9_-]{0,62}$/, 'must be 1 to 63 letters, digits, "-" or "_", and start with a letter or digit')
const tokens = zod.int().min(0)
const address = zod.url({ protocol: /^https?$/ })

const modelSchema = zod.strictObject({
  id: name,
  /** Output tokens taken where a request names none; also the most that one may ask for. */
  maximumOutputTokens: zod.int().min(1)
})

const serviceSchema = zod.strictObject({
  id: name,
  /** Price of one call in tokens. */
  tokensPerCall: tokens,
  timeoutMs: zod.int().min(1).max(600_000).default(10_000)
})

const clientAccountSchema = zod.strictObject({
  id: name,
  /** SHA-256 hashes of the account's bearer keys, in hexadecimal. */
  keyHashes: zod.array(zod.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 hash in lower-case hexadecimal')).min(1),
  /** Higher is served first. */
  priority: zod.int().min(0).max(9).default(5),
  defaultBudget: name
})

const budgetSchema = zod.strictObject({
  id: name,
  totalTokens: tokens,
  /** The members that may draw on the budget, and the most that each may take of it. */
  members: zod.array(zod.strictObject({ clientAccount: name, capTokens: tokens })).min(1)
})

const targetSchema = zod.strictObject({
  id: name,
  kind: zod.enum(['engine', 'service']),
  address,
  availabilityZone: name,
  /** Models of an engine, or services of a plain service. */
  serves: zod.array(name).min(1),
  /** Requests served at once. */
  slots: zod.int().min(1).default(32),
  /** Whether the target refuses orders that carry an old fencing number. */
  checksFencing: zod.boolean().default(false),
  leaving: zod.boolean().default(false)
})

const hostSchema = zod.strictObject({ id: name, leaving: zod.boolean().default(false) })

/** The agreement in force: who may draw what, and which targets serve it. */
export const manifestSchema = zod.strictObject({
  name,
  models: zod.array(modelSchema).default([]),
  services: zod.array(serviceSchema).default([]),
  clientAccounts: zod.array(clientAccountSchema),
  budgets: zod.array(budgetSchema),
  targets: zod.array(targetSchema),
  /** Entry hosts with wishes of the operators; a host need not be listed to serve. */
  hosts: zod.array(hostSchema).default([])
}).superRefine(checkReferences)

/** A checked manifest. */
export type Manifest = zod.infer<typeof manifestSchema>
export type ManifestTarget = zod.infer<typeof targetSchema>
export type ManifestBudget = zod.infer<typeof budgetSchema>
export type ManifestClientAccount = zod.infer<typeof clientAccountSchema>

/** One fault of a manifest, with the path to the faulty value. */
export interface ManifestFault {
  path: string
  message: string
}

/** Outcome of a check: the manifest, or all its faults. */
export type ManifestCheck =
  | { kind: 'valid', manifest: Manifest }
  | { kind: 'invalid', faults: ManifestFault[] }

/** Checks a manifest as a whole and lists every fault. */
export function checkManifest (value: unknown): ManifestCheck {
  const parsed = manifestSchema.safeParse(value)
  if (parsed.success) return { kind: 'valid', manifest: parsed.data }
  const faults = parsed.error.issues.map((issue) => ({ path: issue.path.join('.'), message: issue.message }))
  return { kind: 'invalid', faults }
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
  const report = (path: Array<string | number>, message: string): void => {
    context.addIssue({ code: 'custom', path, message })
  }
  checkUnique('models', manifest.models, report)
  checkUnique('services', manifest.services, report)
  checkUnique('clientAccounts', manifest.clientAccounts, report)
  checkUnique('budgets', manifest.budgets, report)
  checkUnique('targets', manifest.targets, report)
  checkUnique('hosts', manifest.hosts, report)
  checkBudgets(manifest, report)
  checkAccounts(manifest, report)
  checkTargets(manifest, report)
}

type Report = (path: Array<string | number>, message: string) => void

function checkUnique (list: string, entries: Array<{ id: string }>, report: Report): void {
  const seen = new Set<string>()
  entries.forEach((entry, index) => {
    if (seen.has(entry.id)) report([list, index, 'id'], `"${entry.id}" stands twice`)
    seen.add(entry.id)
  })
}

function checkBudgets (manifest: ReferenceCheckInput, report: Report): void {
  const accounts = new Set(manifest.clientAccounts.map((account) => account.id))
  manifest.budgets.forEach((budget, index) => {
    const seen = new Set<string>()
    budget.members.forEach((member, position) => {
      const path = ['budgets', index, 'members', position, 'clientAccount']
      if (!accounts.has(member.clientAccount)) report(path, `there is no client account "${member.clientAccount}"`)
      if (seen.has(member.clientAccount)) report(path, `"${member.clientAccount}" stands twice`)
      seen.add(member.clientAccount)
    })
  })
}

function checkAccounts (manifest: ReferenceCheckInput, report: Report): void {
  const budgets = new Map(manifest.budgets.map((budget) => [budget.id, budget]))
  const hashes = new Set<string>()
  manifest.clientAccounts.forEach((account, index) => {
    const path = ['clientAccounts', index, 'defaultBudget']
    const budget = budgets.get(account.defaultBudget)
    const member = budget?.members.some((entry) => entry.clientAccount === account.id)
    if (budget === undefined) report(path, `there is no budget "${account.defaultBudget}"`)
    else if (member === false) report(path, `"${account.id}" is no member of budget "${account.defaultBudget}"`)
    account.keyHashes.forEach((hash, position) => {
      if (hashes.has(hash)) report(['clientAccounts', index, 'keyHashes', position], 'this key hash stands twice')
      hashes.add(hash)
    })
  })
}

function checkTargets (manifest: ReferenceCheckInput, report: Report): void {
  const served = {
    engine: new Set(manifest.models.map((model) => model.id)),
    service: new Set(manifest.services.map((service) => service.id))
  }
  manifest.targets.forEach((target, index) => {
    target.serves.forEach((id, position) => {
      if (served[target.kind].has(id)) return
      report(['targets', index, 'serves', position], `there is no ${target.kind === 'engine' ? 'model' : 'service'} "${id}"`)
    })
  })
}
