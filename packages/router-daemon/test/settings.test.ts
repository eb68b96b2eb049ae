// Guards against a router that starts with a setting that it cannot apply. The error must name the flag and the environment
// variable, because the value may come from either.
import * as chai from 'chai'
import * as settings from '../src/settings.js'

const required = ['--host', 'h', '--availability-zone', 'z', '--platform-address', 'http://127.0.0.1:1']

const cases: Array<{ title: string, argv: string[], environment: Record<string, string>, message: RegExp }> = [
  { title: 'a missing host name', argv: required.slice(2), environment: {}, message: /--host \(ACACIAWEIR_HOST\) is missing/ },
  { title: 'a share above 1', argv: [...required, '--allotment-share', '2'], environment: {}, message: /--allotment-share \(ACACIAWEIR_ALLOTMENT_SHARE\) is invalid/ },
  { title: 'an invalid value of an environment variable', argv: required, environment: { ACACIAWEIR_JOURNAL_INTERVAL_MS: 'soon' }, message: /--journal-interval-ms \(ACACIAWEIR_JOURNAL_INTERVAL_MS\) is invalid/ },
  { title: 'a platform address that is not plain HTTP', argv: [...required, '--platform-address', 'https://127.0.0.1:1'], environment: {}, message: /--platform-address \(ACACIAWEIR_PLATFORM_ADDRESS\) is invalid: must be http/ },
  { title: 'an unknown routing policy', argv: [...required, '--routing-policy', 'luck'], environment: {}, message: /--routing-policy/ }
]

describe('settings', () => {
  for (const example of cases) {
    it(`rejects ${example.title} and names the setting`, () => {
      chai.expect(() => settings.readSettings(example.argv, example.environment)).to.throw(settings.SettingsError, example.message)
    })
  }

  it('gives flags precedence over environment variables', () => {
    const read = settings.readSettings([...required, '--witness-count', '1'], { ACACIAWEIR_WITNESS_COUNT: '5', ACACIAWEIR_BUDGET_WAIT_MS: '7' })
    chai.expect([read.witnessCount, read.budgetWaitMs]).to.deep.equal([1, 7])
  })
})
