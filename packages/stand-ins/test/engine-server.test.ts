// The replay judges routers by what the stand-in engine reports. These tests guard against a stand-in that generates a wrong number
// of tokens, runs a request that was cancelled before it arrived, or runs a request again on resumption: the replay would then blame
// the routers.

import * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import * as answers from '../src/engine-answer.js'
import * as engines from '../src/engine-server.js'

const messages = [{ role: 'user', content: 'Which oak suits a sauna bucket?' }]

describe('stand-in engine', () => {
  let engine: engines.EngineServer
  let address: string

  beforeEach(async () => {
    engine = new engines.EngineServer({ firstTokenMs: 1, tokenIntervalMs: 1 })
    address = `http://127.0.0.1:${await engine.listen(0, '127.0.0.1')}`
  })

  afterEach(() => { engine.close() })

  async function start (requestId: string): Promise<runtime.httpCall.HttpAnswer> {
    const body = JSON.stringify({ model: 'advisor', max_tokens: 6, messages })
    return await runtime.httpCall.callHttp({ method: 'POST', url: address + '/v1/chat/completions', headers: { 'x-request-id': requestId }, body, idleTimeoutMs: 2000 })
  }

  async function cancel (requestId: string): Promise<{ kind: string }> {
    const answer = await runtime.httpCall.callHttp({ method: 'DELETE', url: `${address}/v1/streams/${requestId}`, idleTimeoutMs: 2000 })
    return JSON.parse(answer.body) as { kind: string }
  }

  it('sends every token of an answer and then the usage', async () => {
    const answer = await start('r1')
    const tokens = answers.answerLength(messages, 6)
    chai.expect(answer.body.match(/"content"/g)).to.have.length(tokens)
    chai.expect(answer.body).to.contain(`"completion_tokens":${tokens}`)
  })

  it('refuses a request that was cancelled before it arrived', async () => {
    chai.expect((await cancel('r1')).kind).to.equal('never-ran')
    chai.expect((await start('r1')).status).to.equal(409)
    chai.expect(engine.served).to.have.length(0)
  })

  it('resumes an ended stream at an offset without another run', async () => {
    await start('r1')
    const rest = await runtime.httpCall.callHttp({ method: 'GET', url: `${address}/v1/streams/r1?offset=2`, idleTimeoutMs: 2000 })
    chai.expect(rest.body.startsWith('id: r1:2\n')).to.equal(true)
    chai.expect(engine.served).to.have.length(1)
  })
})
