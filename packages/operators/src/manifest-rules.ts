import * as decisions from '@acaciaweir/decisions'
import type * as manifests from './manifest.js'

const { Severity, violationsOf } = decisions.configurationRules

type Rule = decisions.configurationRules.ConfigurationRule<manifests.Manifest>

/** Rules that a manifest may break although it can be put in force. */
export const manifestRules: readonly Rule[] = [
  {
    name: 'model-without-target',
    severity: Severity.error,
    sentence: 'Each model is served by a target that is not leaving.',
    findViolations: ({ models, targets }) => violationsOf('models', models, ['id'], ({ id }) => isServed(targets, 'engine', id) ? undefined : `no target that stays serves model ${id}`)
  },
  {
    name: 'service-without-target',
    severity: Severity.error,
    sentence: 'Each plain service is served by a target that is not leaving.',
    findViolations: ({ services, targets }) => violationsOf('services', services, ['id'], ({ id }) => isServed(targets, 'service', id) ? undefined : `no target that stays serves service ${id}`)
  },
  {
    name: 'target-of-two-entries',
    severity: Severity.error,
    sentence: 'Each target has an address of its own: the slots of one process would be counted twice.',
    findViolations: ({ targets }) => decisions.configurationRules.duplicatesOf('targets', targets, ['address'], (target) => target.address, (target, earlier) => `target ${earlier.id} has the address of ${target.id}`)
  },
  {
    name: 'cap-over-total',
    severity: Severity.warning,
    sentence: 'No member\'s cap is above the total of its budget.',
    findViolations: ({ budgets }) => budgets.flatMap((budget, index) => violationsOf('members', budget.members, ['capTokens'], ({ capTokens, clientAccount }) => {
      return capTokens <= budget.totalTokens ? undefined : `${clientAccount} may spend ${capTokens} of the ${budget.totalTokens} tokens of budget ${budget.id}`
    }).map(({ path, text }) => ({ path: ['budgets', index, ...path], text })))
  },
  {
    name: 'total-never-used',
    severity: Severity.warning,
    sentence: 'The caps of a budget\'s members add up to its total at least.',
    findViolations: ({ budgets }) => violationsOf('budgets', budgets, ['totalTokens'], ({ id, members, totalTokens }) => {
      const caps = members.reduce((sum, { capTokens }) => sum + capTokens, 0)
      return caps >= totalTokens ? undefined : `members of budget ${id} may spend ${caps} of its ${totalTokens} tokens`
    })
  },
  {
    name: 'call-over-cap',
    severity: Severity.warning,
    sentence: 'A client account\'s cap in its own budget covers one call of each plain service.',
    findViolations: ({ budgets, clientAccounts, services }) => {
      const dearest = Math.max(0, ...services.map(({ tokensPerCall }) => tokensPerCall))
      return violationsOf('clientAccounts', clientAccounts, ['defaultBudget'], ({ defaultBudget, id }) => {
        const cap = budgets.find((budget) => budget.id === defaultBudget)?.members.find((member) => member.clientAccount === id)?.capTokens
        return cap === undefined || cap >= dearest ? undefined : `${id} may spend ${cap} tokens of budget ${defaultBudget}, and a call costs up to ${dearest}`
      })
    }
  }
]

function isServed (targets: readonly manifests.ManifestTarget[], kind: manifests.ManifestTarget['kind'], id: string): boolean {
  return targets.some((target) => target.kind === kind && !target.leaving && target.serves.includes(id))
}
