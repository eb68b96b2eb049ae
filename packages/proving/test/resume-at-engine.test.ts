// Streams are cut or fall silent while their engine runs on. Guards against a router that gives an answer up that its engine still produces.
import * as operators from '@acaciaweir/operators'
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as crypto from 'node:crypto'
import * as http from 'node:http'
import * as timers from 'node:timers/promises'
import * as embedded from '../src/embedded-fleet.js'
import * as examples from '../src/example-manifest.js'
import * as relays from '../src/relay.js'

const { expect } = chai

const ACCOUNT = 'workshop'
const TOTAL_TOKENS = 100_000
const MAXIMUM_TOKENS = 400
const messages = [{ role: 'user', content: 'Which oak suits a sauna bucket?' }]

/** Cuts of one stream, each after new frames. */
const CUTS = 9

/** Frames between two cuts. */
const FRAMES_BETWEEN_CUTS = 10

/** Silence of the engine, in milliseconds. */
const SILENCE_MS = 30_000

/** Time in which the router applies a changed configuration, in milliseconds. */
const RECONFIGURATION_MS = 1500

describe('a router whose engine runs on', () => {
  let fleet: embedded.EmbeddedFleet
  let relay: relays.Relay
  let manifest: operators.manifest.Manifest
  let generation: number

  beforeEach(async () => {
    fleet = new embedded.EmbeddedFleet()
    await fleet.start(['zone-a'])
    fleet.engine.options.tokenIntervalMs = 15
    manifest = fleet.createManifest(ACCOUNT, TOTAL_TOKENS, TOTAL_TOKENS)
    relay = new relays.Relay(Number(new URL(manifest.targets[0].address).port))
    manifest.targets[0].address = `http://127.0.0.1:${await relay.listen()}`
    generation = 0
    await apply(manifest)
    await fleet.waitUntilReady()
  })

  afterEach(async () => {
    await fleet.shutDownRouters()
    fleet.close()
    relay.close()
  })

  async function apply (changed: operators.manifest.Manifest): Promise<void> {
    await new operators.configurationStore.ConfigurationStore(fleet.client).apply(changed, generation, crypto.randomUUID())
    generation += 1
  }

  async function open (): Promise<http.IncomingMessage> {
    return await new Promise((resolve, reject) => {
      const headers = { authorization: `Bearer ${examples.exampleApiKey(ACCOUNT)}`, 'content-type': 'application/json' }
      const request = http.request(`${fleet.routers[0].callerAddress}/v1/chat/completions`, { method: 'POST', headers, agent: false }, resolve)
      request.on('error', reject)
      request.end(JSON.stringify({ model: 'advisor', stream: true, max_tokens: MAXIMUM_TOKENS, messages }))
    })
  }

  function cutConnections (): void {
    relay.setMode(relays.RelayMode.cut)
    relay.setMode(relays.RelayMode.pass)
  }

  async function readAnswer (answer: http.IncomingMessage, onFrames: (frames: number) => void = () => {}): Promise<string> {
    let body = ''
    answer.setEncoding('utf8')
    try {
      for await (const chunk of answer) {
        body += chunk as string
        onFrames(body.split('\n\n').length - 1)
      }
    } catch {
      // The frames before the end of the connection show what the caller has.
    }
    return body
  }

  function expectWhole (body: string): void {
    expect(body.slice(-300)).to.match(/data: \[DONE\]\n\n$/)
    const text = [...body.matchAll(/"content":"([^"]*)"/g)].map((match) => match[1]).join('')
    expect(text).to.equal(standIns.engineAnswer.wholeAnswer(messages, MAXIMUM_TOKENS))
  }

  it('completes an answer that is cut many times, each time after new frames', async () => {
    let cuts = 0
    const body = await readAnswer(await open(), (frames) => {
      if (cuts >= CUTS || frames < (cuts + 1) * FRAMES_BETWEEN_CUTS) return
      cuts += 1
      cutConnections()
    })

    expect(cuts).to.equal(CUTS)
    expectWhole(body)
  }).timeout(30_000)

  it('completes an answer after a long silence of its engine', async () => {
    const answer = await open()
    relay.setMode(relays.RelayMode.silent)
    const reading = readAnswer(answer)
    await timers.setTimeout(SILENCE_MS)
    relay.setMode(relays.RelayMode.pass)

    expectWhole(await reading)
  }).timeout(60_000)

  const changes: Array<{ name: string, targets: (engine: operators.manifest.ManifestTarget) => operators.manifest.ManifestTarget[] }> = [
    { name: 'is dropped from the configuration', targets: () => [] },
    { name: 'gives its name to another address', targets: (engine) => [{ ...engine, address: 'http://127.0.0.1:9' }] }
  ]
  for (const change of changes) {
    it(`completes an answer that is cut after its engine ${change.name}`, async () => {
      const answer = await open()
      const reading = readAnswer(answer)
      await apply({ ...manifest, targets: change.targets(manifest.targets[0]) })
      await timers.setTimeout(RECONFIGURATION_MS)
      cutConnections()

      expectWhole(await reading)
    }).timeout(30_000)
  }
})
