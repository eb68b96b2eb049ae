import * as chai from 'chai'
import * as settings from '../src/settings.js'

const required = ['--host', 'h', '--availability-zone', 'z', '--platform-address', 'http://127.0.0.1:1']

const cases: Array<{ title: string, argv: string[], environment: Record<string, string>, fault: RegExp }> = [
  { title: 'a missing host', argv: required.slice(2), environment: {}, fault: /--host \(ACACIAWEIR_HOST\) is missing/ },
  { title: 'a bad share', argv: [...required, '--allotment-share', '2'], environment: {}, fault: /--allotment-share \(ACACIAWEIR_ALLOTMENT_SHARE\) is bad/ },
  { title: 'a bad value in the environment', argv: required, environment: { ACACIAWEIR_JOURNAL_INTERVAL_MS: 'soon' }, fault: /--journal-interval-ms \(ACACIAWEIR_JOURNAL_INTERVAL_MS\) is bad/ },
  { title: 'an address that the store cannot have', argv: [...required, '--platform-address', 'https://127.0.0.1:1'], environment: {}, fault: /--platform-address \(ACACIAWEIR_PLATFORM_ADDRESS\) is bad: it must be http/ },
  { title: 'an unknown routing policy', argv: [...required, '--routing-policy', 'luck'], environment: {}, fault: /--routing-policy/ }
]

describe('settings', () => {
  for (const example of cases) {
    it(`names ${example.title}`, () => {
      chai.expect(() => settings.readSettings(example.argv, example.environment)).to.throw(settings.SettingsError, example.fault)
    })
  }

  it('takes flags before environment variables', () => {
    const read = settings.readSettings([...required, '--witness-count', '1'], { ACACIAWEIR_WITNESS_COUNT: '5', ACACIAWEIR_BUDGET_WAIT_MS: '7' })
    chai.expect([read.witnessCount, read.budgetWaitMs]).to.deep.equal([1, 7])
  })
})
