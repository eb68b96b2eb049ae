import type * as decisions from '@acaciaweir/decisions'
import type * as operators from '@acaciaweir/operators'
import * as crypto from 'node:crypto'

/** A manifest in force, with indexes for the lookups that requests need. */
export class Agreement {
  readonly generation: number
  readonly manifest: operators.manifest.Manifest
  readonly #accountsByKeyHash = new Map<string, operators.manifest.ManifestClientAccount>()
  readonly #accounts = new Map<string, operators.manifest.ManifestClientAccount>()
  readonly #limits = new Map<string, decisions.ledgerTypes.BudgetLimits>()
  readonly #targets = new Map<string, operators.manifest.ManifestTarget>()
  readonly #targetsByService = new Map<string, operators.manifest.ManifestTarget[]>()

  constructor (generation: number, manifest: operators.manifest.Manifest) {
    this.generation = generation
    this.manifest = manifest
    for (const account of manifest.clientAccounts) this.#addAccount(account)
    for (const budget of manifest.budgets) this.#limits.set(budget.id, limitsOf(generation, budget))
    for (const target of manifest.targets) this.#addTarget(target)
  }

  /** Returns the client account of a bearer key; undefined for an unknown key. */
  accountOfKey (bearerKey: string): operators.manifest.ManifestClientAccount | undefined {
    const hash = crypto.createHash('sha256').update(bearerKey).digest()
    const account = this.#accountsByKeyHash.get(hash.toString('hex'))
    const isMatch = account?.keyHashes.some((keyHash) => crypto.timingSafeEqual(hash, Buffer.from(keyHash, 'hex')))
    return isMatch === true ? account : undefined
  }

  account (id: string): operators.manifest.ManifestClientAccount | undefined {
    return this.#accounts.get(id)
  }

  limits (budget: string): decisions.ledgerTypes.BudgetLimits | undefined {
    return this.#limits.get(budget)
  }

  model (id: string): operators.manifest.Manifest['models'][number] | undefined {
    return this.manifest.models.find((model) => model.id === id)
  }

  service (id: string): operators.manifest.Manifest['services'][number] | undefined {
    return this.manifest.services.find((service) => service.id === id)
  }

  target (id: string): operators.manifest.ManifestTarget | undefined {
    return this.#targets.get(id)
  }

  /** Returns the targets of a kind that serve the model or service with the given identifier. */
  targetsServing (kind: operators.manifest.ManifestTarget['kind'], id: string): operators.manifest.ManifestTarget[] {
    return this.#targetsByService.get(`${kind}/${id}`) ?? []
  }

  #addAccount (account: operators.manifest.ManifestClientAccount): void {
    this.#accounts.set(account.id, account)
    for (const hash of account.keyHashes) this.#accountsByKeyHash.set(hash, account)
  }

  #addTarget (target: operators.manifest.ManifestTarget): void {
    this.#targets.set(target.id, target)
    for (const id of target.serves) {
      const key = `${target.kind}/${id}`
      this.#targetsByService.set(key, [...this.#targetsByService.get(key) ?? [], target])
    }
  }
}

function limitsOf (generation: number, budget: operators.manifest.ManifestBudget): decisions.ledgerTypes.BudgetLimits {
  const capTokens = Object.fromEntries(budget.members.map((member) => [member.clientAccount, member.capTokens]))
  return { generation, totalTokens: budget.totalTokens, capTokens }
}
