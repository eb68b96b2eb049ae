// Guards against commands that change the configuration wrongly or report the wrong exit code: an invalid manifest that is
// applied, a conflict between two operators that goes unnoticed, or a change that is applied twice because the answer to
// its first write was lost.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as fs from 'node:fs'
import * as os from 'node:os'
import * as path from 'node:path'
import * as url from 'node:url'
import * as programs from '../src/program.js'

const EXAMPLES = url.fileURLToPath(new URL('../../../../docs/examples/', import.meta.url))

interface ProgramCase {
  title: string
  commands: string[]
  exitCodes: number[]
}

const example = EXAMPLES + 'izvor-voda.json'
const cases: ProgramCase[] = [
  { title: 'accepts the example manifests', commands: [`check ${example}`, `check ${EXAMPLES}standards-office.json`], exitCodes: [0, 0] },
  { title: 'rejects an invalid manifest and applies no part of it', commands: ['check BAD', 'apply BAD --expect 0', 'show'], exitCodes: [2, 2, 1] },
  { title: 'reports a conflict to the second of two operators', commands: [`apply ${example} --expect 0`, `apply ${example} --expect 0`, `apply ${example} --expect 1`], exitCodes: [0, 3, 0] },
  { title: 'tops up a budget and rejects an unknown budget or an invalid amount', commands: [`apply ${example} --expect 0`, 'top-up routes 500', 'top-up nothing 500', 'top-up routes many'], exitCodes: [0, 0, 2, 2] },
  { title: 'drains targets and hosts, and rejects an unknown target', commands: [`apply ${example} --expect 0`, 'drain-target pool-1', 'drain-target pool-1 --undo', 'drain-host host-1', 'drain-target nothing'], exitCodes: [0, 0, 0, 0, 2] },
  { title: 'prints the reports', commands: [`apply ${example} --expect 0`, 'budgets', 'bills', 'hosts', 'targets', `diff ${example}`, '--json show'], exitCodes: [0, 0, 0, 0, 0, 0, 0] },
  { title: 'rejects an unknown command', commands: ['explode'], exitCodes: [2] }
]

describe('command line', () => {
  let server: standIns.storeServer.StoreServer
  let address: string
  let folder: string
  const write = process.stdout.write.bind(process.stdout)
  const writeError = process.stderr.write.bind(process.stderr)

  beforeEach(async () => {
    server = new standIns.storeServer.StoreServer()
    address = `http://${await server.listen()}`
    folder = fs.mkdtempSync(path.join(os.tmpdir(), 'acaciaweir-'))
    fs.writeFileSync(path.join(folder, 'bad.json'), JSON.stringify({ name: 'bad', clientAccounts: [], budgets: [{ id: 'b', totalTokens: -1, members: [] }], targets: [], surprise: 1 }))
  })

  afterEach(() => {
    server.close()
    fs.rmSync(folder, { recursive: true })
  })

  async function run (command: string): Promise<number> {
    const words = command.replace('BAD', path.join(folder, 'bad.json')).split(' ')
    process.stdout.write = () => true
    process.stderr.write = () => true
    try {
      return await programs.runProgram(['--platform-address', address, ...words])
    } finally {
      process.stdout.write = write
      process.stderr.write = writeError
    }
  }

  for (const entry of cases) {
    it(entry.title, async () => {
      const exitCodes: number[] = []
      for (const command of entry.commands) exitCodes.push(await run(command))
      chai.expect(exitCodes).to.deep.equal(entry.exitCodes)
    })
  }

  it('applies a change once although answers of the platform are lost', async () => {
    await run(`apply ${example} --expect 0`)
    server.faultInjector.faults.lostAnswerShare = 0.6
    chai.expect(await run('top-up routes 500')).to.equal(0)
    server.faultInjector.faults.lostAnswerShare = 0
    const head = server.readSpec('acaciaweir-configuration', 'head') as { generation: number }
    chai.expect(head.generation).to.equal(2)
  })

  for (const bad of ['somewhere', 'https://127.0.0.1:1', 'http://127.0.0.1:1/base']) {
    it(`rejects ${bad} as the platform's address`, async () => {
      address = bad
      chai.expect(await run('show')).to.equal(2)
    })
  }

  it('reports an unreachable platform by its own exit code', async () => {
    server.fault = standIns.storeServer.StoreFault.reset
    chai.expect(await run('show')).to.equal(4)
  })
})
