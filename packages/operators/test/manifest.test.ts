// Guards against an invalid manifest that is put in force: unknown fields, duplicate identifiers, or references to models and
// client accounts that do not exist. An operator must see all errors at once, each with its path.
import * as chai from 'chai'
import * as manifests from '../src/manifest.js'

const hash = 'a'.repeat(64)
const valid = {
  name: 'test',
  models: [{ id: 'advisor', maximumOutputTokens: 100 }],
  services: [],
  clientAccounts: [{ id: 'alpha', keyHashes: [hash], defaultBudget: 'shared' }],
  budgets: [{ id: 'shared', totalTokens: 100, members: [{ clientAccount: 'alpha', capTokens: 50 }] }],
  targets: [{ id: 'engine-1', kind: 'engine', address: 'http://10.0.0.1:80', availabilityZone: 'a', serves: ['advisor'] }]
}

const cases: Array<{ title: string, change: object, paths: string[] }> = [
  { title: 'accepts a valid manifest', change: {}, paths: [] },
  { title: 'rejects unknown fields', change: { surprise: 1 }, paths: [''] },
  { title: 'rejects a budget member that is not a client account', change: { budgets: [{ id: 'shared', totalTokens: 1, members: [{ clientAccount: 'alpha', capTokens: 1 }, { clientAccount: 'beta', capTokens: 1 }] }] }, paths: ['budgets.0.members.1.clientAccount'] },
  { title: 'rejects a default budget of which the client account is not a member', change: { clientAccounts: [{ id: 'alpha', keyHashes: [hash], defaultBudget: 'other' }] }, paths: ['clientAccounts.0.defaultBudget'] },
  { title: 'rejects a target that serves an unknown model', change: { targets: [{ ...valid.targets[0], serves: ['poet'] }] }, paths: ['targets.0.serves.0'] },
  { title: 'rejects duplicate target identifiers', change: { targets: [valid.targets[0], valid.targets[0]] }, paths: ['targets.1.id'] },
  { title: 'lists all errors', change: { name: '', budgets: [{ id: 'shared', totalTokens: -1, members: [] }] }, paths: ['name', 'budgets.0.totalTokens', 'budgets.0.members', 'clientAccounts.0.defaultBudget'] }
]

describe('manifest', () => {
  for (const example of cases) {
    it(example.title, () => {
      const validation = manifests.validateManifest({ ...valid, ...example.change })
      const paths = validation.kind === 'invalid' ? validation.issues.map((issue) => issue.path) : []
      chai.expect(paths).to.deep.equal(example.paths)
    })
  }
})
