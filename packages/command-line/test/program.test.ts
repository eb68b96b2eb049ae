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
  { title: 'accepts the examples', commands: [`check ${example}`, `check ${EXAMPLES}standards-office.json`], exitCodes: [0, 0] },
  { title: 'refuses a bad manifest whole', commands: ['check BAD', 'apply BAD --expect 0', 'show'], exitCodes: [2, 2, 1] },
  { title: 'tells the second of two operators about the conflict', commands: [`apply ${example} --expect 0`, `apply ${example} --expect 0`, `apply ${example} --expect 1`], exitCodes: [0, 3, 0] },
  { title: 'tops a budget up, and refuses an unknown one', commands: [`apply ${example} --expect 0`, 'top-up routes 500', 'top-up nothing 500', 'top-up routes many'], exitCodes: [0, 0, 2, 2] },
  { title: 'drains targets and hosts', commands: [`apply ${example} --expect 0`, 'drain-target pool-1', 'drain-target pool-1 --undo', 'drain-host host-1', 'drain-target nothing'], exitCodes: [0, 0, 0, 0, 2] },
  { title: 'reports', commands: [`apply ${example} --expect 0`, 'budgets', 'bills', 'hosts', 'targets', `diff ${example}`, '--json show'], exitCodes: [0, 0, 0, 0, 0, 0, 0] },
  { title: 'refuses an unknown command', commands: ['explode'], exitCodes: [2] }
]

describe('command line', () => {
  let server: standIns.publishedStore.PublishedStore
  let address: string
  let folder: string
  const write = process.stdout.write.bind(process.stdout)
  const writeError = process.stderr.write.bind(process.stderr)

  beforeEach(async () => {
    server = new standIns.publishedStore.PublishedStore()
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

  it('settles a lost answer by reading, and applies the change once', async () => {
    await run(`apply ${example} --expect 0`)
    server.faultSwitch.faults.lostAnswerShare = 0.6
    chai.expect(await run('top-up routes 500')).to.equal(0)
    server.faultSwitch.faults.lostAnswerShare = 0
    const head = server.read('acaciaweir-configuration', 'head') as { generation: number }
    chai.expect(head.generation).to.equal(2)
  })

  for (const bad of ['somewhere', 'https://127.0.0.1:1', 'http://127.0.0.1:1/base']) {
    it(`refuses ${bad} as the platform's address`, async () => {
      address = bad
      chai.expect(await run('show')).to.equal(2)
    })
  }

  it('says that the platform is unreachable', async () => {
    server.fault = standIns.publishedStore.StoreFault.reset
    chai.expect(await run('show')).to.equal(4)
  })
})
