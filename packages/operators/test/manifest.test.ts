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
  { title: 'refuses unknown fields', change: { surprise: 1 }, paths: [''] },
  { title: 'refuses a member that is no client account', change: { budgets: [{ id: 'shared', totalTokens: 1, members: [{ clientAccount: 'alpha', capTokens: 1 }, { clientAccount: 'beta', capTokens: 1 }] }] }, paths: ['budgets.0.members.1.clientAccount'] },
  { title: 'refuses a default budget that the account is no member of', change: { clientAccounts: [{ id: 'alpha', keyHashes: [hash], defaultBudget: 'other' }] }, paths: ['clientAccounts.0.defaultBudget'] },
  { title: 'refuses a target that serves what is not there', change: { targets: [{ ...valid.targets[0], serves: ['poet'] }] }, paths: ['targets.0.serves.0'] },
  { title: 'refuses names that stand twice', change: { targets: [valid.targets[0], valid.targets[0]] }, paths: ['targets.1.id'] },
  { title: 'lists every fault', change: { name: '', budgets: [{ id: 'shared', totalTokens: -1, members: [] }] }, paths: ['name', 'budgets.0.totalTokens', 'budgets.0.members', 'clientAccounts.0.defaultBudget'] }
]

describe('manifest', () => {
  for (const example of cases) {
    it(example.title, () => {
      const check = manifests.checkManifest({ ...valid, ...example.change })
      const paths = check.kind === 'invalid' ? check.faults.map((fault) => fault.path) : []
      chai.expect(paths).to.deep.equal(example.paths)
    })
  }
})
