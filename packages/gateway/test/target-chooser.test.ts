// Guards against a request that is sent to a target which asked for rest, or whose zone was evacuated, while the request waited, or whose caller
// left meanwhile; against a copy of a cache from an evacuated zone; and against a request that waits on although no other zone has the service;
// and against requests that wait together, for tokens or permits, and all go to the target that is the best one at that moment.
import * as decisions from '@acaciaweir/decisions'
import type * as adapter from '@acaciaweir/platform-adapter'
import * as runtime from '@acaciaweir/runtime'
import * as chai from 'chai'
import type * as calls from '../src/call.js'
import type * as targetPermits from '../src/target-permits.js'
import * as connectionSlots from '../src/connection-slots.js'
import * as roomQueues from '../src/room-queue.js'
import * as targetChoosers from '../src/target-chooser.js'
import * as virtualClocks from './virtual-clock.js'

const { expect } = chai

const PERMIT_MS = 50

/** A chooser in zone-a whose permits take `PERMIT_MS`. Each target has the named zone, or zone-a, and takes one connection unless more are named. */
class Scene {
  readonly clock = new virtualClocks.VirtualClock()
  readonly evacuations = new decisions.zoneEvacuations.ZoneEvacuations()
  readonly board = new decisions.targetBoard.TargetBoard(this.evacuations)
  readonly room = new decisions.serviceRoom.ServiceRoom()
  readonly slots: connectionSlots.ConnectionSlots
  readonly entries: decisions.agreementTypes.TargetEntry[]
  readonly chooser: targetChoosers.TargetChooser
  readonly call = { service: 'engines', sends: [], route: { name: 'plan' }, deadlineAt: Infinity, rank: 0, request: { promptParts: [], promptTokens: 0 }, abortController: new AbortController() } as unknown as calls.Call

  constructor (targets: string[], zones: Record<string, string> = {}, connections = 1) {
    this.slots = new connectionSlots.ConnectionSlots(() => connections)
    this.entries = targets.map((id) => ({ id, service: 'engines', address: `10.0.0.1:${id.charCodeAt(0)}`, availabilityZone: zones[id] ?? 'zone-a', slots: 4, leaving: false }))
    this.board.replaceEntries(this.entries)
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
      random: new decisions.random.SeededRandom(1),
      permits,
      slots: this.slots,
      roomQueue: new roomQueues.RoomQueue({ clock: this.clock, board: this.board, room: this.room, slots: this.slots, random: new decisions.random.SeededRandom(1), onFull: () => {} }),
      leavingAdmission: new decisions.leavingAdmission.LeavingAdmission(),
      logger: runtime.logging.createLogger('silent'),
      targetLimits: new decisions.targetLimits.TargetLimits(() => {}),
      coldTargets: new decisions.coldTargets.ColdTargets(() => undefined, () => {}),
      targetRests: new decisions.targetRests.TargetRests(),
      availabilityZone: 'zone-a',
      announce: () => {},
      onChosen: () => {}
    })
  }

  /** Lets targets say that they want nothing for a while. */
  rest (targets: string[], restMs: number): void {
    const answer = { belongsToAttempt: true, isLeaving: false, restMs, limitPerSecond: undefined } as unknown as adapter.targetRequest.TargetResponse
    for (const entry of this.entries.filter(({ id }) => targets.includes(id))) this.chooser.recordAnswer(this.call, entry, answer, this.clock.now())
  }

  evacuate (zones: string[]): void {
    this.evacuations.replace(zones, { epoch: 1, revision: this.evacuations.version.revision + 1 })
  }
}

describe('TargetChooser', () => {
  const cases: Array<{ name: string, targets: string[], resting: string[], hasCallerLeft?: boolean, chosen: string | undefined }> = [
    { name: 'sends to the target for which a permit came', targets: ['a'], resting: [], chosen: 'a' },
    { name: 'sends to another target if that one asked for rest while the request waited for its permit', targets: ['a', 'b'], resting: ['a'], chosen: 'b' },
    { name: 'sends to none if all asked for rest while the request waited for a permit', targets: ['a'], resting: ['a'], chosen: undefined },
    { name: 'sends to none if the caller left while the request waited for a permit', targets: ['a', 'b'], resting: [], hasCallerLeft: true, chosen: undefined }
  ]
  for (const { name, targets, resting, hasCallerLeft, chosen } of cases) {
    it(name, async () => {
      const scene = new Scene(targets)
      const placement = scene.chooser.place(scene.call, new Set())
      await scene.clock.runUntil(PERMIT_MS / 2)
      scene.rest(resting, 5000)
      if (hasCallerLeft === true) scene.call.abortReason = 'caller'
      await scene.clock.runUntil(PERMIT_MS * 4)
      expect((await placement)?.placement.target.entry.id).to.equal(chosen)
    })
  }

  it('spreads requests that start at the same moment, before any of them is sent', async () => {
    const scene = new Scene(['a', 'b', 'c', 'd'], {}, Infinity)
    const placements = Array.from({ length: 16 }, async () => await scene.chooser.place(scene.call, new Set()))
    await scene.clock.runUntil(PERMIT_MS * 4)
    const chosen = await Promise.all(placements)
    for (const id of ['a', 'b', 'c', 'd']) expect(chosen.filter((choice) => choice?.placement.target.entry.id === id)).to.have.length(4)
    for (const choice of chosen) choice?.release()
    expect(scene.board.ownWork()).to.deep.equal({})
  })

  const both = { a: 'zone-a', b: 'zone-b' }
  const evacuations: Array<{ waitsFor: 'a permit' | 'a connection' | 'a target that rests', evacuated: string[], isSecondSend?: boolean, chosen: string | undefined, withinMs?: number }> = [
    { waitsFor: 'a permit', evacuated: ['zone-a'], chosen: 'b', withinMs: 2 * PERMIT_MS },
    { waitsFor: 'a permit', evacuated: ['zone-b'], chosen: 'a', withinMs: PERMIT_MS },
    { waitsFor: 'a permit', evacuated: ['zone-a', 'zone-b'], chosen: undefined, withinMs: PERMIT_MS },
    { waitsFor: 'a permit', evacuated: ['zone-a'], isSecondSend: true, chosen: undefined, withinMs: PERMIT_MS },
    { waitsFor: 'a connection', evacuated: ['zone-a'], chosen: 'b' },
    { waitsFor: 'a connection', evacuated: ['zone-a', 'zone-b'], chosen: undefined },
    { waitsFor: 'a target that rests', evacuated: ['zone-a'], chosen: 'b', withinMs: 1000 },
    { waitsFor: 'a target that rests', evacuated: ['zone-a', 'zone-b'], chosen: undefined, withinMs: 150 }
  ]
  for (const { waitsFor, evacuated, isSecondSend = false, chosen, withinMs } of evacuations) {
    it(`sends ${isSecondSend ? 'a second time ' : ''}to ${chosen ?? 'none'} if ${evacuated.join(' and ')} of zone-a and zone-b is evacuated while the request waits for ${waitsFor}`, async () => {
      const scene = new Scene(['a', 'b'], both)
      const releases = waitsFor === 'a connection' ? scene.entries.map((entry) => scene.slots.take(entry)) : []
      if (waitsFor === 'a target that rests') scene.rest(['a', 'b'], 900)
      let endedAt = Infinity
      const placing = scene.chooser[isSecondSend ? 'placeAtOnce' : 'place'](scene.call, new Set()).finally(() => { endedAt = scene.clock.now() })
      await scene.clock.runUntil(PERMIT_MS / 2)
      scene.evacuate(evacuated)
      await scene.clock.runUntil(500)
      // The place in the queue waits by the clock of the process.
      for (const release of releases) release()
      if (releases.length > 0) await new Promise<void>((resolve) => { setTimeout(resolve, 120) })
      await scene.clock.runUntil(2000)
      expect((await placing)?.placement.target.entry.id).to.equal(chosen)
      expect(endedAt).to.be.at.most(withinMs ?? Infinity)
    })
  }

  for (const evacuated of [[], ['zone-b']]) {
    it(`copies a cache from ${evacuated.length === 0 ? 'another zone' : 'no zone that is evacuated while the request waits for its permit'}`, async () => {
      const scene = new Scene(['a', 'b'], both)
      Object.assign(scene.call.request, { promptParts: [{ id: 'shared', tokens: 20_000 }, { id: 'own', tokens: 10 }], promptTokens: 20_010 })
      for (let count = 0; count < 9; count++) scene.board.recordStart('b', 20_000, ['shared'], 0)
      const placing = scene.chooser.place(scene.call, new Set())
      await scene.clock.runUntil(PERMIT_MS / 2)
      scene.evacuate(evacuated)
      await scene.clock.runUntil(PERMIT_MS * 4)
      const { target, copyFrom } = (await placing)?.placement ?? {}
      expect([target?.entry.id, copyFrom?.entry.id]).to.deep.equal(['a', evacuated.length === 0 ? 'b' : undefined])
    })
  }

  const fullService: Array<{ name: string, hasBeenSent?: boolean, abortReason?: 'caller', inProgress: number, ended: number, chosen: string | undefined, isRefused: boolean, hasWaited?: boolean }> = [
    { name: 'refuses at once a request of an account that has much more than its part of a full service', inProgress: 40, ended: 0, chosen: undefined, isRefused: true },
    { name: 'sends a request that was sent before, although its account has more than its part', hasBeenSent: true, inProgress: 40, ended: 0, chosen: 'a', isRefused: false },
    { name: 'refuses a request that waited for room in vain', inProgress: 9, ended: 0, chosen: undefined, isRefused: true },
    { name: 'sends a request that waits for room once enough of its account have ended', inProgress: 9, ended: 6, chosen: 'a', isRefused: false, hasWaited: true }
  ]
  for (const { name, hasBeenSent = false, inProgress, ended, chosen, isRefused, hasWaited = isRefused } of fullService) {
    it(name, async () => {
      const scene = new Scene(['a'], {}, Infinity)
      Object.assign(scene.call, { account: { name: 'busy' }, route: { name: 'plan', objectiveMs: 1000 }, deadlineAt: 4000, sends: hasBeenSent ? [{ result: 'lost' }] : [] })
      for (let count = 0; count < 400; count++) scene.room.recordTime('engines', 1000, { slots: 4, requests: 1 })
      scene.room.start('engines', 'calm', 0)
      scene.board.recordStart('a', 0, [], 0)
      const ends = Array.from({ length: inProgress }, () => {
        scene.board.recordStart('a', 0, [], 0)
        return scene.room.start('engines', 'busy', 0)
      })
      if (inProgress < 10) for (let count = 0; count < 400; count++) scene.room.recordTime('engines', 100, { slots: 4, requests: 1 })
      const placing = scene.chooser.place(scene.call, new Set())
      for (const end of ends.slice(0, ended)) {
        end()
        scene.board.recordEnd('a', 'served', 0)
      }
      if (ended > 0) await new Promise<void>((resolve) => { setTimeout(resolve, 60) })
      await scene.clock.runUntil(PERMIT_MS * 4)
      expect((await placing)?.placement.target.entry.id).to.equal(chosen)
      expect([scene.call.room !== undefined, scene.call.room?.isRefused === true]).to.deep.equal([hasWaited, isRefused])
    })
  }
})
