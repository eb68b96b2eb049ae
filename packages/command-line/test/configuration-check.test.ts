// Guards against a check that fails on input that it should report, that shows keys, or whose page differs from its rules.
import * as operators from '@acaciaweir/operators'
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as fastCheck from 'fast-check'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as checks from '../src/configuration-check.js'
import * as exits from '../src/exit-codes.js'
import * as jsonSyntax from '../src/json-syntax.js'
import * as output from '../src/output.js'
import * as programs from '../src/program.js'
import * as rulesPage from '../src/rules-page.js'

const { expect } = chai

const DOCS = url.fileURLToPath(new URL('../../../../docs/', import.meta.url))
const ACCOUNT = { name: 'large', apiKey: 'key-of-the-large-account', prepaidTokens: 1_000_000 }

type Configuration = Record<string, Array<Record<string, unknown>>> & { Version: unknown, Limits: Record<string, unknown> }

function isJson (text: string): boolean {
  try {
    JSON.parse(text)
    return true
  } catch {
    return false
  }
}

describe('check of a configuration', () => {
  const platform = new standIns.platformStandIn.PlatformStandIn([ACCOUNT])
  let folder: string
  let address: string
  let printed = ''

  before(async () => {
    folder = fs.mkdtempSync(path.join(os.tmpdir(), 'acaciaweir-check-'))
    address = `http://${await platform.store.listen()}`
    platform.configure()
  })
  after(() => {
    platform.close()
    fs.rmSync(folder, { recursive: true })
  })

  function configuration (): Configuration {
    return structuredClone(platform.store.readSpec('config', 'main')) as Configuration
  }

  function write (name: string, text: string): string {
    const file = path.join(folder, name)
    fs.writeFileSync(file, text)
    return file
  }

  async function run (...words: string[]): Promise<number> {
    const writeOutput = process.stdout.write.bind(process.stdout)
    const writeError = process.stderr.write.bind(process.stderr)
    printed = ''
    process.stdout.write = (text) => { printed += String(text); return true }
    process.stderr.write = (text) => { printed += String(text); return true }
    try {
      return await programs.runProgram(['--platform-address', address, 'check', ...words])
    } finally {
      process.stdout.write = writeOutput
      process.stderr.write = writeError
    }
  }

  const cases: Array<{ name: string, change: (value: Configuration) => void, options?: string[], exitCode: number, prints: string }> = [
    { name: 'passes what the stand-ins send', change: () => {}, exitCode: exits.ExitCode.success, prints: 'is valid' },
    { name: 'names errors with the path as operators write it', change: (value) => { value.Routes[0].TargetLatencyMs = 9000 }, exitCode: exits.ExitCode.failure, prints: 'error Routes.0.TimeoutMs: route plan ends requests after 5000 ms' },
    { name: 'passes warnings', change: (value) => { value.Tenants.push({ Name: 'small', ApiKeys: [] }) }, exitCode: exits.ExitCode.success, prints: 'warning Tenants.1.ApiKeys' },
    { name: 'fails on warnings where that is asked for', change: (value) => { value.Tenants.push({ Name: 'small', ApiKeys: [] }) }, options: ['--fail-on', 'warning'], exitCode: exits.ExitCode.failure, prints: 'account-without-keys' },
    { name: 'names all invalid fields', change: (value) => { value.Limits.MaxBodyBytes = -1; value.Routes[1].Kind = 'stream' }, exitCode: exits.ExitCode.invalidInput, prints: 'Limits.MaxBodyBytes' },
    { name: 'names a route without a service', change: (value) => { delete value.Routes[2].Service }, exitCode: exits.ExitCode.invalidInput, prints: 'Routes.2.Service: route order names no service' },
    { name: 'prints JSON', change: () => {}, options: ['--format', 'json'], exitCode: exits.ExitCode.success, prints: '{"kind":"configuration","findings":[]' },
    { name: 'tells what differs from the version in force', change: (value) => { value.Version = 2; value.Routes.pop() }, options: ['--in-force'], exitCode: exits.ExitCode.success, prints: 'notice: plans.example/stock/ is no route of its own any more' }
  ]
  for (const { name, change, options, exitCode, prints } of cases) {
    it(name, async () => {
      const value = configuration()
      change(value)
      expect(await run(write('configuration.json', JSON.stringify(value)), ...options ?? [])).to.equal(exitCode)
      expect(printed).to.include(prints)
    })
  }

  it('compares with another file, and shows no key', async () => {
    const value = configuration()
    const before = write('before.json', JSON.stringify(value))
    value.Version = 2
    value.Tenants[0].ApiKeys = ['another-key-of-the-account']
    expect(await run(write('after.json', JSON.stringify(value)), '--against', before)).to.equal(exits.ExitCode.success)
    expect(printed).to.include('key-withdrawn').and.to.include('accounts.large.keys').and.not.to.include(ACCOUNT.apiKey)
  })

  it('names the line and column of text that is no JSON', async () => {
    expect(await run(write('text.json', '{\n  "Routes": [,]\n}'))).to.equal(exits.ExitCode.invalidInput)
    expect(printed).to.include('at line 2, column 14')
  })

  const texts: Array<[text: string, position: number]> = [['', 0], ['{', 1], ['[1,]', 3], ['{"a":1,}', 7], ['{"a" 1}', 5], ['[1 2]', 3], ['1 2', 2], ['{"a":\u0001}', 5], ['["\n"]', 1], ['[01]', 2], ['[}', 1], ['{]', 1], ['nul', 0], [' [tru', 2]]
  for (const [text, position] of texts) {
    it(`finds where ${JSON.stringify(text)} is no JSON`, () => {
      expect(jsonSyntax.findSyntaxError(text)).to.equal(position)
    })
  }

  it('agrees with the parser on what is JSON', () => {
    const text = fastCheck.string({ unit: fastCheck.constantFrom(...'{}[],:"\\ 01.-eEtrufalsn\n'), maxLength: 12 })
    fastCheck.assert(fastCheck.property(fastCheck.oneof(text, fastCheck.json()), (drawn) => {
      expect(jsonSyntax.findSyntaxError(drawn) === undefined).to.equal(isJson(drawn))
    }), { numRuns: 2000 })
  })

  for (const example of ['izvor-voda', 'standards-office']) {
    it(`finds nothing in the example of ${example}`, async () => {
      expect(await run(path.join(DOCS, 'examples', `${example}.json`), '--fail-on', 'warning')).to.equal(exits.ExitCode.success)
    })
  }

  it('refuses to compare a manifest with a configuration', async () => {
    expect(await run(path.join(DOCS, 'examples', 'izvor-voda.json'), '--against', write('other.json', JSON.stringify(configuration())))).to.equal(exits.ExitCode.invalidInput)
  })

  /** Checks a value. An invalid one ends in a command error; nothing else may be thrown. */
  function checkAny (value: unknown): void {
    try {
      output.formatCheckReport('drawn', checks.checkConfiguration('drawn', value), false)
    } catch (error) {
      expect(error).to.be.instanceOf(exits.CommandError)
    }
  }

  it('ends in findings or errors whatever the JSON is', () => {
    fastCheck.assert(fastCheck.property(fastCheck.jsonValue(), checkAny))
    const part = fastCheck.constantFrom('Routes', 'Services', 'Limits', 'Tenants', 'Version')
    fastCheck.assert(fastCheck.property(part, fastCheck.jsonValue(), (name, drawn) => { checkAny({ ...configuration(), [name]: drawn }) }))
    const field = fastCheck.constantFrom('Name', 'Host', 'Service', 'TrafficSplit', 'ApiKeys', 'Prepaid', 'TimeoutMs', 'Engine')
    fastCheck.assert(fastCheck.property(part, field, fastCheck.jsonValue(), (name, key, drawn) => {
      const value = configuration()
      if (Array.isArray(value[name])) value[name][0][key] = drawn
      checkAny(value)
    }))
  })

  it('has a page that lists the rules as they are', () => {
    const page = fs.readFileSync(path.join(DOCS, 'MANIFEST.md'), 'utf8')
    for (const { name } of operators.manifestRules.manifestRules) expect(page).to.include(name)
    expect(rulesPage.updatePage(page)).to.equal(page)
  })
})
