import * as operators from '@acaciaweir/operators'
import * as platform from '@acaciaweir/platform'
import * as daemon from '@acaciaweir/router-daemon'
import * as runtime from '@acaciaweir/runtime'
import * as standIns from '@acaciaweir/stand-ins'
import * as crypto from 'node:crypto'
import * as timers from 'node:timers/promises'
import * as examples from './example-manifest.js'
import * as ledgerReport from '@acaciaweir/command-line'

const LOOPBACK = '127.0.0.1'

const platformServer = new standIns.platformServer.PlatformServer(1)
const platformAddress = `http://${LOOPBACK}:${await platformServer.listen(0, LOOPBACK)}`
const engine = new standIns.engineServer.EngineServer()
const engineAddress = `http://${LOOPBACK}:${await engine.listen(0, LOOPBACK)}`
const client = new platform.httpPlatformClient.HttpPlatformClient({ address: platformAddress, timeoutMs: 1000 })

const manifest = examples.exampleManifest({
  name: 'quickstart',
  engines: [{ id: 'advisor-1', address: engineAddress }],
  services: [],
  availabilityZones: ['zone-a', 'zone-b'],
  accounts: ['workshop'],
  totalTokens: 10_000,
  capTokens: 8_000,
  slots: 8
})
await new operators.configurationStore.ConfigurationStore(client).apply(manifest, 0, crypto.randomUUID())

const fleet = [startRouter('host-1', 'zone-a'), startRouter('host-2', 'zone-b')]
for (const router of fleet) await router.start()
for (const router of fleet) await becomeReady(router)

await printBudget('budget before')
await sendRequest(fleet[0].callerAddress)
for (const router of fleet) await router.shutDown()
await printBudget('budget after')
await printBills()
engine.close()
platformServer.close()
process.exit(0)

function startRouter (host: string, availabilityZone: string): daemon.router.Router {
  const settings = daemon.settings.checkSettings({
    host,
    availabilityZone,
    platformAddress,
    callerListen: `${LOOPBACK}:0`,
    peerListen: `${LOOPBACK}:0`,
    metricsListen: `${LOOPBACK}:0`
  })
  return new daemon.router.Router(settings, runtime.logging.createLogger('silent'))
}

async function becomeReady (router: daemon.router.Router): Promise<void> {
  while (router.notReadyReason() !== undefined) await timers.setTimeout(10)
}

async function sendRequest (address: string): Promise<void> {
  const response = await fetch(address + '/v1/chat/completions', {
    method: 'POST',
    headers: { authorization: `Bearer ${examples.exampleKey('workshop')}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model: 'advisor', stream: true, max_tokens: 12, messages: [{ role: 'user', content: 'Which oak suits a sauna bucket?' }] })
  })
  process.stdout.write('answer: ')
  for (const line of (await response.text()).split('\n')) {
    if (!line.startsWith('data: {')) continue
    const chunk = JSON.parse(line.slice('data: '.length)) as { choices: Array<{ delta: { content?: string } }> }
    process.stdout.write(chunk.choices[0].delta.content ?? '')
  }
  process.stdout.write('\n')
}

async function printBudget (title: string): Promise<void> {
  const [budget] = await ledgerReport.spendReport.readSpend(client, manifest)
  process.stdout.write(`${title}: ${budget.spentTokens} of ${budget.totalTokens} tokens spent\n`)
}

async function printBills (): Promise<void> {
  for (const bill of await ledgerReport.spendReport.readBills(client)) {
    process.stdout.write(`bill: ${bill.account} pays ${bill.promptTokens} + ${bill.completionTokens} tokens (${bill.outcome}, ${bill.requestId})\n`)
  }
}
