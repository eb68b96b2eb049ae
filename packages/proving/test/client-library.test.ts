import * as operators from '@acaciaweir/operators'
import * as reports from '@acaciaweir/command-line'
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as crypto from 'node:crypto'
import * as openai from 'openai'
import * as embedded from '../src/embedded-fleet.js'
import * as examples from '../src/example-manifest.js'

const messages = [{ role: 'user' as const, content: 'Which oak suits a sauna bucket?' }]

describe('the callers\' usual client library, unmodified', () => {
  let fleet: embedded.EmbeddedFleet
  let client: openai.OpenAI

  beforeEach(async () => {
    fleet = new embedded.EmbeddedFleet()
    await fleet.start(['zone-a'])
    client = new openai.OpenAI({ apiKey: examples.exampleKey('workshop'), baseURL: fleet.routers[0].callerAddress + '/v1' })
  })

  afterEach(async () => {
    await fleet.shutDownRouters()
    fleet.close()
  })

  async function apply (totalTokens: number): Promise<void> {
    const store = new operators.configurationStore.ConfigurationStore(fleet.client)
    await store.apply(fleet.manifest('workshop', totalTokens, totalTokens), 0, crypto.randomUUID())
  }

  async function ready (totalTokens: number): Promise<void> {
    await apply(totalTokens)
    await fleet.becomeReady()
  }

  it('gets a whole answer with its usage', async () => {
    await ready(10_000)
    const completion = await client.chat.completions.create({ model: 'advisor', max_tokens: 20, messages })
    chai.expect(completion.choices[0].message.content).to.equal(standIns.engineAnswer.wholeAnswer(messages, 20))
    chai.expect(completion.usage?.completion_tokens).to.equal(standIns.engineAnswer.answerLength(messages, 20))
  })

  it('gets a streamed answer, and one bill for what the target served', async () => {
    await ready(10_000)
    let text = ''
    const stream = await client.chat.completions.create({ model: 'advisor', max_tokens: 20, messages, stream: true })
    for await (const chunk of stream) text += chunk.choices[0].delta.content ?? ''
    chai.expect(text).to.equal(standIns.engineAnswer.wholeAnswer(messages, 20))
    const [bill, ...others] = await reports.spendReport.readBills(fleet.client)
    chai.expect(others).to.deep.equal([])
    chai.expect(bill.completionTokens).to.equal(fleet.engine.served[0].completionTokens)
  })

  it('is refused before the run where the budget does not cover the worst case', async () => {
    await ready(30)
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

  it('repeats by itself a request that a router without a configuration refused', async () => {
    const pending = client.chat.completions.create({ model: 'advisor', max_tokens: 20, messages })
    await apply(10_000)
    chai.expect((await pending).choices[0].message.content).to.equal(standIns.engineAnswer.wholeAnswer(messages, 20))
  })
})
