// Guards against a check that passes what operators get wrong in a manifest, or that finds fault with what is right.
import * as decisions from '@acaciaweir/decisions'
import * as chai from 'chai'
import * as manifests from '../src/manifest.js'
import * as manifestRules from '../src/manifest-rules.js'

const { expect } = chai

const validation = manifests.validateManifest({
  name: 'example',
  models: [{ id: 'model', maximumOutputTokens: 100 }],
  services: [{ id: 'stock', tokensPerCall: 20 }],
  clientAccounts: [{ id: 'desk', keyHashes: ['0'.repeat(64)], defaultBudget: 'shared' }],
  budgets: [{ id: 'shared', totalTokens: 1000, members: [{ clientAccount: 'desk', capTokens: 1000 }] }],
  targets: [
    { id: 'engine-1', kind: 'engine', address: 'http://10.0.0.1:80', availabilityZone: 'a', serves: ['model'] },
    { id: 'stock-1', kind: 'service', address: 'http://10.0.0.2:80', availabilityZone: 'a', serves: ['stock'] }
  ]
})

const broken: Array<[rule: string, path: string, change: (manifest: manifests.Manifest) => void]> = [
  ['model-without-target', 'models.0.id', (manifest) => { manifest.targets[0].leaving = true }],
  ['service-without-target', 'services.0.id', (manifest) => { manifest.targets.pop() }],
  ['target-of-two-entries', 'targets.1.address', (manifest) => { manifest.targets[1].address = manifest.targets[0].address }],
  ['cap-over-total', 'budgets.0.members.0.capTokens', (manifest) => { manifest.budgets[0].members[0].capTokens = 1001 }],
  ['total-never-used', 'budgets.0.totalTokens', (manifest) => { manifest.budgets[0].totalTokens = 1001 }],
  ['call-over-cap', 'clientAccounts.0.defaultBudget', (manifest) => { manifest.services[0].tokensPerCall = 1001 }]
]

describe('the check of a manifest', () => {
  function findings (change: (manifest: manifests.Manifest) => void): string[][] {
    if (validation.kind === 'invalid') throw new Error(JSON.stringify(validation.issues))
    const manifest = structuredClone(validation.manifest)
    change(manifest)
    return decisions.configurationRules.findAll(manifestRules.manifestRules, manifest).map(({ path, rule }) => [rule, path.join('.')])
  }

  it('finds nothing in a valid one', () => {
    expect(findings(() => {})).to.deep.equal([])
  })

  for (const [rule, path, change] of broken) {
    it(`finds ${rule} and where it is, and nothing else`, () => {
      expect(findings(change)).to.deep.equal([[rule, path]])
    })
  }

  it('has a broken manifest for each rule', () => {
    expect(broken.map(([rule]) => rule).sort()).to.deep.equal(manifestRules.manifestRules.map(({ name }) => name).sort())
  })
})
