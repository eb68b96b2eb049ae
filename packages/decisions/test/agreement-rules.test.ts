// Guards against a check that passes what operators get wrong, that finds fault with what is right, or that fails instead of reporting.
import * as chai from 'chai'
import * as notices from '../src/agreement-notices.js'
import * as agreementRules from '../src/agreement-rules.js'
import * as types from '../src/agreement-types.js'
import * as rules from '../src/configuration-rules.js'

const { expect } = chai

const route: types.Route = {
  name: 'plan',
  host: 'plans.example',
  pathPrefix: '/plan/',
  repetition: types.Repetition.repeatable,
  streaming: true,
  resumable: true,
  timeoutMs: 5000,
  objectiveMs: 500,
  pauseObjectiveMs: 250,
  rank: 1,
  maximumTargets: 2,
  anonymous: false,
  shares: [{ service: 'engines', weight: 1 }]
}
const service: types.Service = { name: 'engines', maximumConnections: 200, engine: { slots: 32, cacheTokens: 100_000, tokensPerEvent: 1 } }
const account: types.Account = { name: 'large', keys: ['key-1', 'key-2'], prepaidTokens: 1_000_000 }
const valid: types.Agreement = {
  version: 7,
  routes: [route],
  services: [service],
  accounts: [account],
  limits: { headerBytes: 16_384, bodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
}

const broken: Array<[rule: string, path: string, agreement: Partial<types.Agreement>]> = [
  ['duplicate-route-name', 'routes.1.name', { routes: [route, { ...route, pathPrefix: '/other/' }] }],
  ['route-never-matches', 'routes.1.pathPrefix', { routes: [route, { ...route, name: 'later' }] }],
  ['duplicate-service-name', 'services.1.name', { services: [service, service] }],
  ['duplicate-account-name', 'accounts.1.name', { accounts: [account, { ...account, keys: ['key-3'] }] }],
  ['key-of-two-accounts', 'accounts.1.keys.1', { accounts: [account, { ...account, name: 'small', keys: ['key-3', 'key-2'] }] }],
  ['unknown-service', 'routes.0.shares', { routes: [{ ...route, shares: [{ service: 'engines', weight: 9 }, { service: 'engine', weight: 1 }] }] }],
  ['share-without-weight', 'routes.0.shares', { routes: [{ ...route, shares: [{ service: 'engines', weight: 0 }] }] }],
  ['unused-service', 'services.1.name', { services: [service, { ...service, name: 'spare' }] }],
  ['account-without-keys', 'accounts.1.keys', { accounts: [account, { ...account, name: 'small', keys: [] }] }],
  ['route-for-nobody', 'routes.0.anonymous', { accounts: [] }],
  ['objective-over-timeout', 'routes.0.timeoutMs', { routes: [{ ...route, objectiveMs: 5000 }] }],
  ['pause-over-timeout', 'routes.0.pauseObjectiveMs', { routes: [{ ...route, pauseObjectiveMs: 6000 }] }],
  ['header-time-over-idle-time', 'limits.headerTimeoutMs', { limits: { ...valid.limits, idleTimeoutMs: 2000 } }],
  ['connections-under-slots', 'services.0.maximumConnections', { services: [{ ...service, maximumConnections: 31 }] }],
  ['total-under-one-request', 'accounts.0.prepaidTokens', { accounts: [{ ...account, prepaidTokens: 99_999 }] }]
]

describe('the check of an agreement', () => {
  it('finds nothing in a valid one', () => {
    expect(rules.findAll(agreementRules.agreementRules, valid)).to.deep.equal([])
  })

  for (const [rule, path, agreement] of broken) {
    it(`finds ${rule} and where it is, and nothing else`, () => {
      const findings = rules.findAll(agreementRules.agreementRules, { ...valid, ...agreement })
      expect(findings.map((finding) => [finding.rule, finding.path.join('.')])).to.deep.equal([[rule, path]])
    })
  }

  it('has a broken agreement for each rule', () => {
    expect(broken.map(([rule]) => rule).sort()).to.deep.equal(agreementRules.agreementRules.map(({ name }) => name).sort())
  })

  it('lists errors before warnings', () => {
    const findings = rules.findAll(agreementRules.agreementRules, { ...valid, routes: [route, { ...route, name: 'later' }], services: [service, { ...service, name: 'spare' }] })
    expect(findings.map(({ severity }) => severity)).to.deep.equal(['error', 'warning'])
  })
})

describe('what callers notice of a new agreement', () => {
  const cases: Array<[name: notices.AgreementNotice['name'] | undefined, next: Partial<types.Agreement>]> = [
    [undefined, {}],
    ['version-not-newer', { version: 7 }],
    ['route-gone', { routes: [{ ...route, pathPrefix: '/plan/new/' }] }],
    ['timeout-lowered', { routes: [{ ...route, timeoutMs: 4000 }] }],
    ['key-withdrawn', { accounts: [{ ...account, keys: ['key-2'] }] }],
    [undefined, { accounts: [{ ...account, keys: ['key-2', 'key-1', 'key-3'], prepaidTokens: 2_000_000 }] }],
    ['total-lowered', { accounts: [{ ...account, prepaidTokens: 500_000 }] }],
    ['limit-lowered', { limits: { ...valid.limits, bodyBytes: 1024 } }],
    [undefined, { accounts: undefined }]
  ]
  for (const [name, next] of cases) {
    it(`${name ?? 'is nothing'} for ${JSON.stringify(Object.keys(next))}`, () => {
      expect(notices.findNotices(valid, { ...valid, version: 8, ...next }).map((notice) => notice.name)).to.deep.equal(name === undefined ? [] : [name])
    })
  }

  it('names an account that is gone with its keys, and a key that moved as still valid', () => {
    const next = { ...valid, version: 8, accounts: [{ ...account, name: 'small', keys: ['key-1'] }] }
    expect(notices.findNotices(valid, next).map((notice) => notice.name)).to.deep.equal(['account-gone', 'key-withdrawn'])
  })

  it('names a route and a budget that begin to ask for more', () => {
    const before = { ...valid, routes: [{ ...route, anonymous: true }], accounts: [{ ...account, prepaidTokens: undefined }] }
    expect(notices.findNotices(before, { ...valid, version: 8 }).map((notice) => notice.name)).to.deep.equal(['key-required', 'budget-begins'])
  })
})
