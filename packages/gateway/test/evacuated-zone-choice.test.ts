// A zone is evacuated while a request waits. Guards against a request that is sent there after it waited for a permit, for a connection or for
// a target that rests, against a copy of a cache from there, and against a request that waits on although no other zone has the service.
import * as decisions from '@acaciaweir/decisions'
import type * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import type * as calls from '../src/call.js'
import type * as targetPermits from '../src/target-permits.js'
import * as connectionSlots from '../src/connection-slots.js'
import * as targetChoosers from '../src/target-chooser.js'
import * as virtualClocks from './virtual-clock.js'

const { expect } = chai

const PERMIT_MS = 50

/** Time at which the zones are evacuated, in milliseconds. */
const EVACUATED_AT_MS = 25

/** Targets 1 and 2, in zones a and b, with one connection each. */
class Scene {
  readonly clock = new virtualClocks.VirtualClock()
  readonly evacuations = new decisions.zoneEvacuations.ZoneEvacuations()
  readonly board = new decisions.targetBoard.TargetBoard(this.evacuations)
  readonly slots = new connectionSlots.ConnectionSlots(() => 1)
  readonly call: calls.Call
  readonly chooser: targetChoosers.TargetChooser

  constructor (zones: string[]) {
    this.board.replaceEntries(zones.map((zone, index) => ({ id: `${index + 1}`, service: 'engines', address: `10.0.0.1:${index + 1}`, availabilityZone: `zone-${zone}`, slots: 4, leaving: false })))
    const permits = {
      maximumWaitMs: () => 1000,
      mayAsk: () => true,
      acquire: async () => {
        await this.clock.sleep(PERMIT_MS)
        return true
      },
      expectedWaitMs: () => undefined,
      startWaiting: () => () => {}
    } as unknown as targetPermits.TargetPermits
    this.chooser = new targetChoosers.TargetChooser({
      clock: this.clock,
      board: this.board,
      permits,
      slots: this.slots,
      leavingAdmission: new decisions.leavingAdmission.LeavingAdmission(),
      logger: runtime.logging.createLogger('silent'),
      targetLimits: new decisions.targetLimits.TargetLimits(() => {}),
      targetRests: new decisions.targetRests.TargetRests(),
      availabilityZone: 'zone-a',
      announce: () => {}
    })
    const promptParts = [{ id: 'shared', tokens: 20_000 }, { id: 'own', tokens: 10 }]
    this.call = { service: 'engines', sends: [], route: { name: 'plan' }, deadlineAt: Infinity, rank: 0, request: { promptParts, promptTokens: 20_010 }, abortController: new AbortController() } as unknown as calls.Call
  }

  target (id: string): decisions.agreementTypes.TargetEntry {
    const target = this.board.get(id)
    if (target === undefined) throw new Error(`no target ${id}`)
    return target.entry
  }

  rest (id: string, restMs: number): void {
    const answer = { belongsToAttempt: true, isLeaving: false, restMs, limitPerSecond: undefined } as unknown as adapter.targetRequest.TargetResponse
    this.chooser.recordAnswer(this.call, this.target(id), answer, this.clock.now())
  }

  evacuate (zones: string[]): void {
    this.evacuations.replace(zones.map((zone) => `zone-${zone}`), { epoch: 1, revision: this.evacuations.version.revision + 1 })
  }
}

/** What a request waits for. */
const Wait = { permit: 'a permit', connection: 'a connection', rest: 'a target that rests' } as const
type Wait = typeof Wait[keyof typeof Wait]

async function prepare (scene: Scene, wait: Wait, zones: string[]): Promise<void> {
  if (wait === Wait.connection) zones.forEach((_zone, index) => { scene.slots.take(scene.target(`${index + 1}`)) })
  if (wait === Wait.rest) zones.forEach((_zone, index) => { scene.rest(`${index + 1}`, 900) })
}

describe('a request that waits while a zone is evacuated', () => {
  const cases: Array<{ wait: Wait, zones: string[], evacuated: string[], atOnce?: boolean, chosen: string | undefined, withinMs: number }> = [
    { wait: Wait.permit, zones: ['a', 'b'], evacuated: ['a'], chosen: '2', withinMs: 2 * PERMIT_MS },
    { wait: Wait.permit, zones: ['a', 'b'], evacuated: ['b'], chosen: '1', withinMs: PERMIT_MS },
    { wait: Wait.permit, zones: ['a', 'b'], evacuated: ['a', 'b'], chosen: undefined, withinMs: PERMIT_MS },
    { wait: Wait.permit, zones: ['a'], evacuated: ['a'], atOnce: true, chosen: undefined, withinMs: PERMIT_MS },
    { wait: Wait.rest, zones: ['a', 'b'], evacuated: ['a', 'b'], chosen: undefined, withinMs: 150 },
    { wait: Wait.rest, zones: ['a', 'b'], evacuated: ['a'], chosen: '2', withinMs: 1000 }
  ]
  for (const { wait, zones, evacuated, atOnce = false, chosen, withinMs } of cases) {
    it(`${atOnce ? 'as a second send ' : ''}for ${wait} in ${zones.join(', ')}, of which ${evacuated.join(', ')} is evacuated, goes to ${chosen ?? 'none'}`, async () => {
      const scene = new Scene(zones)
      await prepare(scene, wait, zones)
      let endedAt = Infinity
      const placing = scene.chooser[atOnce ? 'placeAtOnce' : 'place'](scene.call, new Set()).finally(() => { endedAt = scene.clock.now() })
      await scene.clock.runUntil(EVACUATED_AT_MS)
      scene.evacuate(evacuated)
      await scene.clock.runUntil(2000)
      expect((await placing)?.placement.target.entry.id).to.equal(chosen)
      expect(endedAt).to.be.at.most(withinMs)
    })
  }

  it('for a connection, goes to another zone, and to none where there is no other', async () => {
    const scene = new Scene(['a', 'b'])
    const releases = ['1', '2'].map((id) => scene.slots.take(scene.target(id)))
    const placing = scene.chooser.place(scene.call, new Set())
    await scene.clock.runUntil(EVACUATED_AT_MS)
    scene.evacuate(['a'])
    for (const release of releases) release()
    await scene.clock.runUntil(200)
    expect((await placing)?.placement.target.entry.id).to.equal('2')
    const confined = scene.chooser.place(scene.call, new Set(['1']))
    scene.evacuate(['a', 'b'])
    expect(await confined).to.equal(undefined)
  })

  it('does not copy a cache from there', async () => {
    for (const evacuated of [[], ['b']]) {
      const scene = new Scene(['a', 'b'])
      scene.board.recordStart('2', 0, ['shared'], 0)
      for (let count = 0; count < 8; count++) scene.board.recordStart('2', 20_000, ['shared'], 0)
      const placing = scene.chooser.place(scene.call, new Set())
      await scene.clock.runUntil(EVACUATED_AT_MS)
      scene.evacuate(evacuated)
      await scene.clock.runUntil(200)
      const { target, copyFrom } = (await placing)?.placement ?? {}
      expect([target?.entry.id, copyFrom?.entry.id]).to.deep.equal(['1', evacuated.length === 0 ? '2' : undefined])
    }
  })
})
