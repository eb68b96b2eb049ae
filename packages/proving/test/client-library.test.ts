import * as operators from '@acaciaweir/operators'
import * as reports from '@acaciaweir/command-line'
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as crypto from 'node:crypto'
import * as openai from 'openai'
import * as embedded from '../src/embedded-fleet.js'
import * as examples from '../src/example-manifest.js'

// Callers use the OpenAI client library as it is published. These tests guard against answers, errors and headers of a
// router that the library does not understand: a lost token usage, a broken stream, a refusal without its code, or a
// retryable refusal that the library does not retry.

const messages = [{ role: 'user' as const, content: 'Which oak suits a sauna bucket?' }]

describe('unmodified OpenAI client library', () => {
  let fleet: embedded.EmbeddedFleet
  let client: openai.OpenAI

  beforeEach(async () => {
    fleet = new embedded.EmbeddedFleet()
    await fleet.start(['zone-a'])
    client = new openai.OpenAI({ apiKey: examples.exampleApiKey('workshop'), baseURL: fleet.routers[0].callerAddress + '/v1' })
  })

  afterEach(async () => {
    await fleet.shutDownRouters()
    fleet.close()
  })

  async function applyManifest (totalTokens: number): Promise<void> {
    const store = new operators.configurationStore.ConfigurationStore(fleet.client)
    await store.apply(fleet.createManifest('workshop', totalTokens, totalTokens), 0, crypto.randomUUID())
  }

  async function applyAndWaitUntilReady (totalTokens: number): Promise<void> {
    await applyManifest(totalTokens)
    await fleet.waitUntilReady()
  }

  it('receives a complete answer with its token usage', async () => {
    await applyAndWaitUntilReady(10_000)
    const completion = await client.chat.completions.create({ model: 'advisor', max_tokens: 20, messages })
    chai.expect(completion.choices[0].message.content).to.equal(standIns.engineAnswer.wholeAnswer(messages, 20))
    chai.expect(completion.usage?.completion_tokens).to.equal(standIns.engineAnswer.answerLength(messages, 20))
  })

  it('receives a streamed answer, billed once for the completion tokens that the target served', async () => {
    await applyAndWaitUntilReady(10_000)
    let text = ''
    const stream = await client.chat.completions.create({ model: 'advisor', max_tokens: 20, messages, stream: true })
    for await (const chunk of stream) text += chunk.choices[0].delta.content ?? ''
    chai.expect(text).to.equal(standIns.engineAnswer.wholeAnswer(messages, 20))
    const [bill, ...others] = await reports.spendReport.readBills(fleet.client)
    chai.expect(others).to.deep.equal([])
    chai.expect(bill.completionTokens).to.equal(fleet.engine.served[0].completionTokens)
  })

  it('gets a 402 error, before the engine runs, if the budget does not cover the worst case', async () => {
    await applyAndWaitUntilReady(30)
    let refusal: unknown
    try {
      await client.chat.completions.create({ model: 'advisor', max_tokens: 20, messages })
    } catch (error) {
      refusal = error
    }
    chai.expect(refusal).to.be.instanceOf(openai.APIError)
    chai.expect((refusal as openai.APIError).status).to.equal(402)
    chai.expect((refusal as openai.APIError).code).to.equal('budget_exhausted')
    chai.expect(fleet.engine.served).to.deep.equal([])
  })

  it('retries a request that a router refused because it had no configuration yet', async () => {
    const pending = client.chat.completions.create({ model: 'advisor', max_tokens: 20, messages })
    await applyManifest(10_000)
    chai.expect((await pending).choices[0].message.content).to.equal(standIns.engineAnswer.wholeAnswer(messages, 20))
  })
})
