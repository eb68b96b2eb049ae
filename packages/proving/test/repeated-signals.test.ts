// Supervisors repeat their signal, and operators send another. Guards against a process that a second one ends before it has answered what it
// accepted.
import * as standIns from '@acaciaweir/stand-ins'
import * as chai from 'chai'
import * as examples from '../src/example-manifest.js'
import * as fleets from '../src/fleet.js'
import * as soakFleets from '../src/soak-fleet.js'

const { expect } = chai

const ACCOUNT = { name: 'large', apiKey: 'key-large', prepaidTokens: 10_000_000 }

const STREAMS = 10

/** Time from the first to the second signal, in milliseconds. */
const SIGNAL_GAP_MS = 300

const series: NodeJS.Signals[][] = [['SIGTERM', 'SIGTERM'], ['SIGTERM', 'SIGINT'], ['SIGINT', 'SIGTERM'], ['SIGTERM', 'SIGHUP', 'SIGTERM', 'SIGTERM']]

describe('a process that gets another signal while it is leaving', () => {
  for (const signals of series) {
    it(`completes what it accepted at a gateway: ${signals.join(', ')}`, async () => {
      const fleet = new soakFleets.SoakFleet([ACCOUNT])
      await fleet.start(1, () => {})
      for (const target of fleet.platform.targets) Object.assign(target.options, { events: 40, eventIntervalMs: 50 })
      const answers = Promise.all(Array.from({ length: STREAMS }, async (_value, index) => {
        const headers = standIns.callerClient.callerHeaders({ host: standIns.platformStandIn.ROUTE_HOST, attemptId: `request-${index}`, apiKey: ACCOUNT.apiKey, remainingMs: 5000, model: { promptTokens: 90, outputTokens: 100, session: 'a1' } })
        return await standIns.callerClient.send(fleet.hosts[0].callerAddress, '/plan/1', headers)
      }))
      await soakFleets.sleep(SIGNAL_GAP_MS)
      const exited = fleet.hosts[0].terminate(signals[0] as 'SIGTERM' | 'SIGINT')
      await sendSignals(signals.slice(1), fleet.hosts[0].pid)
      const statuses = (await answers).map(({ status, isWhole }) => ({ status, isWhole }))
      const exitCode = await exited
      await fleet.stop()
      expect(statuses).to.deep.equal(Array.from({ length: STREAMS }, () => ({ status: 200, isWhole: true })))
      expect(exitCode).to.equal(0)
    })
  }

  for (const signals of [['SIGTERM', 'SIGTERM'], ['SIGINT', 'SIGTERM'], ['SIGTERM', 'SIGHUP'], ['SIGHUP', 'SIGTERM']] as NodeJS.Signals[][]) {
    it(`completes what it accepted at a router: ${signals.join(', ')}`, async () => {
      const fleet = new fleets.Fleet('repeated-signals', {
        availabilityZones: ['zone-a'],
        routers: 1,
        engines: 1,
        services: 0,
        accounts: 1,
        totalTokens: 1_000_000_000,
        capTokens: 1_000_000_000,
        slots: 64,
        firstTokenMs: 30,
        tokenIntervalMs: 50,
        extraBudgets: 0,
        routerSettings: { 'allotment-minimum-tokens': 1_000_000 }
      }, 1)
      await fleet.start()
      const headers = { authorization: `Bearer ${examples.exampleApiKey(fleet.accounts[0])}`, 'content-type': 'application/json' }
      const body = JSON.stringify({ model: 'advisor', max_tokens: 40, stream: true, messages: [{ role: 'user', content: 'question' }] })
      const answers = Promise.all(Array.from({ length: STREAMS }, async () => await standIns.callerClient.send(new URL(fleet.routers[0].callerAddress).host, '/v1/chat/completions', headers, body)))
      await soakFleets.sleep(SIGNAL_GAP_MS)
      await sendSignals(signals, fleet.routers[0].process?.pid)
      const statuses = (await answers).map(({ status, isWhole }) => ({ status, isWhole }))
      await fleet.stop()
      expect(statuses).to.deep.equal(Array.from({ length: STREAMS }, () => ({ status: 200, isWhole: true })))
    })
  }
})

/** Sends signals to a process, with a pause after each. */
async function sendSignals (signals: readonly NodeJS.Signals[], pid: number | undefined): Promise<void> {
  if (pid === undefined) throw new Error('the process is not running')
  for (const signal of signals) {
    await soakFleets.sleep(SIGNAL_GAP_MS)
    process.kill(pid, signal)
  }
}
