import * as operators from '@acaciaweir/operators'
import * as reports from '@acaciaweir/command-line'
import * as crypto from 'node:crypto'
import * as embedded from './embedded-fleet.js'
import * as examples from './example-manifest.js'

const fleet = new embedded.EmbeddedFleet()
await fleet.start(['zone-a', 'zone-b'])
const manifest = fleet.createManifest('workshop', 10_000, 8_000)
await new operators.configurationStore.ConfigurationStore(fleet.client).apply(manifest, 0, crypto.randomUUID())
await fleet.waitUntilReady()

await printBudget('budget before')
await sendRequest(fleet.routers[0].callerAddress)
await fleet.shutDownRouters()
await printBudget('budget after')
await printBills()
fleet.close()
process.exit(0)

/** Sends a streamed request to a router and prints the text of the answer. */
async function sendRequest (address: string): Promise<void> {
  const response = await fetch(address + '/v1/chat/completions', {
    method: 'POST',
    headers: { authorization: `Bearer ${examples.exampleApiKey('workshop')}`, 'content-type': 'application/json' },
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
  const [budget] = await reports.spendReport.readBudgetSpend(fleet.client, manifest)
  process.stdout.write(`${title}: ${budget.spentTokens} of ${budget.totalTokens} tokens spent\n`)
}

async function printBills (): Promise<void> {
  for (const bill of await reports.spendReport.readBills(fleet.client)) {
    process.stdout.write(`bill: ${bill.account} pays ${bill.promptTokens} + ${bill.completionTokens} tokens (${bill.outcome}, ${bill.requestId})\n`)
  }
}
